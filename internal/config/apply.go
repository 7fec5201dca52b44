package config

import (
	"maps"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// applied is a configuration in force with what peers may ask for.
type applied struct {
	root          root
	data          []byte // of the root
	parts         map[string]heldPart
	configuration *model.Configuration
}

// heldPart is a part in force. Its adapters are kept only in the configuration
// and, encoded, here: two decoded copies of 200,000 adapters would take a large
// part of a node's memory for control.
type heldPart struct {
	data     []byte
	adapters int // number of adapters in the part
}

// apply fetches the parts that are not at hand and puts the configuration in
// force as a whole. The caller holds mu and has checked that the version is
// newer.
func (f *Follower) apply(r root, data []byte, fetch source) error {
	before := f.current.Load()
	if before == nil {
		before = &applied{configuration: &model.Configuration{}}
	}
	a, err := before.advance(r, fetch)
	if err != nil {
		return err
	}
	a.data = data
	f.current.Store(a)
	if f.options.OnApply != nil {
		f.options.OnApply(a.configuration)
	}
	return nil
}

// advance returns what a new root puts in force. Only the adapters of changed
// parts are decoded and checked: decoding and checking all of 200,000 adapters
// takes more than a second, and there are thousands of changes a day.
func (a *applied) advance(r root, fetch source) (*applied, error) {
	next := &applied{root: r, parts: make(map[string]heldPart, len(r.Parts))}
	// The document holds everything but the adapters of unchanged parts.
	d, err := r.document(func(digest string) ([]byte, error) {
		held, known := a.parts[digest]
		if !known {
			var err error
			if held.data, err = fetch(digest); err != nil {
				return nil, err
			}
		}
		next.parts[digest] = held
		if held.adapters > 0 {
			return nil, nil
		}
		return held.data, nil
	}, next.count)
	if err != nil {
		return nil, err
	}
	next.configuration = d.Configuration(r.Version)
	return next, next.mergeAdapters(a)
}

// count notes the number of adapters of a part that was decoded.
func (a *applied) count(digest string, adapters int) {
	held := a.parts[digest]
	held.adapters = adapters
	a.parts[digest] = held
}

// mergeAdapters adds the adapters of unchanged parts to those of the new ones.
func (a *applied) mergeAdapters(before *applied) error {
	merged := maps.Clone(before.configuration.Adapters)
	if merged == nil {
		merged = map[string]model.Adapter{}
	}
	if err := a.removeAdapters(before, merged); err != nil {
		return err
	}
	maps.Copy(merged, a.configuration.Adapters)
	a.configuration.Adapters = merged
	total := 0
	for _, held := range a.parts {
		total += held.adapters
	}
	if total != len(merged) {
		return errs.New(errs.InvalidConfig, "an adapter is in two parts")
	}
	if !a.dropsNames(before) {
		return nil
	}
	return a.checkReferences()
}

// removeAdapters removes the adapters of parts that are no longer used.
func (a *applied) removeAdapters(before *applied, from map[string]model.Adapter) error {
	for digest, held := range before.parts {
		if _, kept := a.parts[digest]; kept || held.adapters == 0 {
			continue
		}
		var removed Document
		if err := join(&removed, held.data); err != nil {
			return err
		}
		for _, adapter := range removed.Adapters {
			delete(from, adapter.Key())
		}
	}
	return nil
}

// dropsNames reports whether an organisation or base model is gone, to which an
// adapter of an unchanged part may refer.
func (a *applied) dropsNames(before *applied) bool {
	for name := range before.configuration.Organisations {
		if _, kept := a.configuration.Organisations[name]; !kept {
			return true
		}
	}
	models := nameSet(a.configuration.BaseModels)
	for _, name := range before.configuration.BaseModels {
		if !models[name] {
			return true
		}
	}
	return false
}

func (a *applied) checkReferences() error {
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
