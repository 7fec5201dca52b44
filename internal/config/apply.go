package config

import (
	"maps"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// appliedConfig is a configuration in force, together with the encoded root and
// parts that are served to peers.
type appliedConfig struct {
	root          root
	encodedRoot   []byte
	parts         map[string]appliedPart // by digest
	configuration *model.Configuration
}

// appliedPart is a part of the configuration in force. Its adapters are kept
// only in the configuration and, in encoded form, here: two decoded copies of
// 200,000 adapters would take a large part of the memory that a node has for
// its control plane.
type appliedPart struct {
	data     []byte // encoded part
	adapters int    // number of adapters in the part
}

// apply fetches the parts that are not yet in memory and replaces the
// configuration in force as a whole. The caller holds mu and has checked that
// the version is newer than the one in force.
func (f *Follower) apply(r root, data []byte, fetch partFetcher) error {
	previous := f.current.Load()
	if previous == nil {
		previous = &appliedConfig{configuration: &model.Configuration{}}
	}
	a, err := previous.withRoot(r, fetch)
	if err != nil {
		return err
	}
	a.encodedRoot = data
	f.current.Store(a)
	if f.options.OnApply != nil {
		f.options.OnApply(a.configuration)
	}
	return nil
}

// withRoot returns the configuration that the new root r describes. Only the
// adapters of changed parts are decoded and validated: decoding and validating
// all of 200,000 adapters takes more than a second, and there are thousands of
// changes a day.
func (a *appliedConfig) withRoot(r root, fetch partFetcher) (*appliedConfig, error) {
	next := &appliedConfig{root: r, parts: make(map[string]appliedPart, len(r.Parts))}
	// The document contains everything except the adapters of unchanged parts.
	d, err := r.assembleDocument(func(digest string) ([]byte, error) {
		part, known := a.parts[digest]
		if !known {
			var err error
			if part.data, err = fetch(digest); err != nil {
				return nil, err
			}
		}
		next.parts[digest] = part
		if part.adapters > 0 {
			return nil, nil
		}
		return part.data, nil
	}, next.setAdapterCount)
	if err != nil {
		return nil, err
	}
	next.configuration = d.Configuration(r.Version)
	return next, next.mergeAdapters(a)
}

// setAdapterCount records the number of adapters in a part that was decoded.
func (a *appliedConfig) setAdapterCount(digest string, adapters int) {
	part := a.parts[digest]
	part.adapters = adapters
	a.parts[digest] = part
}

// mergeAdapters adds the adapters of unchanged parts, taken from the previous
// configuration, to those of the new parts.
func (a *appliedConfig) mergeAdapters(previous *appliedConfig) error {
	merged := maps.Clone(previous.configuration.Adapters)
	if merged == nil {
		merged = map[string]model.Adapter{}
	}
	if err := a.removeAdapters(previous, merged); err != nil {
		return err
	}
	maps.Copy(merged, a.configuration.Adapters)
	a.configuration.Adapters = merged
	total := 0
	for _, part := range a.parts {
		total += part.adapters
	}
	if total != len(merged) {
		return errs.New(errs.InvalidConfig, "an adapter is declared in more than one part")
	}
	if !a.removesOrganisationOrModel(previous) {
		return nil
	}
	return a.checkReferences()
}

// removeAdapters deletes from adapters those that belong to parts of the
// previous configuration that a no longer uses.
func (a *appliedConfig) removeAdapters(previous *appliedConfig, adapters map[string]model.Adapter) error {
	for digest, part := range previous.parts {
		if _, kept := a.parts[digest]; kept || part.adapters == 0 {
			continue
		}
		var removed Document
		if err := appendPart(&removed, part.data); err != nil {
			return err
		}
		for _, adapter := range removed.Adapters {
			delete(adapters, adapter.Key())
		}
	}
	return nil
}

// removesOrganisationOrModel reports whether a lacks an organisation or base
// model of the previous configuration. An adapter of an unchanged part may
// still refer to it.
func (a *appliedConfig) removesOrganisationOrModel(previous *appliedConfig) bool {
	for name := range previous.configuration.Organisations {
		if _, kept := a.configuration.Organisations[name]; !kept {
			return true
		}
	}
	models := nameSet(a.configuration.BaseModels)
	for _, name := range previous.configuration.BaseModels {
		if !models[name] {
			return true
		}
	}
	return false
}

// checkReferences verifies that the organisation and base model of every
// adapter are declared.
func (a *appliedConfig) checkReferences() error {
	models := nameSet(a.configuration.BaseModels)
	for key, adapter := range a.configuration.Adapters {
		if _, known := a.configuration.Organisations[adapter.Organisation]; !known || !models[adapter.BaseModel] {
			return errs.New(errs.InvalidConfig, "1 or more faults in the configuration").
				WithDetails("adapters[" + key + "]: its organisation or base model is not declared")
		}
	}
	return nil
}

func nameSet(names []string) map[string]bool {
	set := make(map[string]bool, len(names))
	for _, name := range names {
		set[name] = true
	}
	return set
}
