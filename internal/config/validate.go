package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"

	"cicadaslip/internal/errs"
)

// Bounds of a document.
const (
	maxNameLength    = 64 // bytes
	maxVersions      = 1000
	maxLoadRate      = 10_000 // loads/s
	maxJournal       = 256
	maxGroupsPerPool = 1024
	minRetention     = time.Minute
	maxRetention     = 30 * 24 * time.Hour
	maxDeadline      = time.Hour
	maxWeight        = 1e6 // of shares and worths
	credentialBytes  = 32  // of a SHA-256
)

// Validate reports every fault of a normalised document, each with its path,
// in the Details of one errs.InvalidConfig.
func (d *Document) Validate() error {
	v := &validator{}
	v.scalars(d)
	models := v.baseModels(d.BaseModels)
	organisations := v.organisations(d.Organisations)
	v.adapters(d.Adapters, organisations, models)
	v.kinds(d.Kinds, organisations)
	if len(v.faults) == 0 {
		return nil
	}
	message := fmt.Sprintf("%d faults in the configuration", len(v.faults))
	return errs.New(errs.InvalidConfig, message).WithDetails(v.faults...)
}

type validator struct{ faults []string }

func (v *validator) check(ok bool, path, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, path+": "+fmt.Sprintf(format, args...))
	}
}

func (v *validator) name(path, name string) {
	v.check(validName(name), path, "%q is refused; allowed: 1 to %d of a-z, A-Z, 0-9, '-', '_', '.', beginning with a letter or digit", name, maxNameLength)
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength || strings.ContainsAny(name[:1], "-_.") {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}

func (v *validator) weight(path string, weight float64) {
	v.check(weight > 0 && weight <= maxWeight, path, "%v is refused; allowed: above 0, up to %v", weight, maxWeight)
}

func (v *validator) scalars(d *Document) {
	v.check(d.LoadRate > 0 && d.LoadRate <= maxLoadRate && !math.IsNaN(d.LoadRate),
		"load_rate", "%v is refused; allowed: above 0, up to %v loads/s", d.LoadRate, maxLoadRate)
	v.check(d.JournalShards >= 1 && d.JournalShards <= maxJournal,
		"journal_shards", "%d is refused; allowed: 1 to %d", d.JournalShards, maxJournal)
	v.check(d.GroupsPerPool >= 1 && d.GroupsPerPool <= maxGroupsPerPool,
		"groups_per_pool", "%d is refused; allowed: 1 to %d", d.GroupsPerPool, maxGroupsPerPool)
	retention := time.Duration(d.Retention)
	v.check(retention >= minRetention && retention <= maxRetention,
		"retention", "%s is refused; allowed: %s to %s", d.Retention, Duration(minRetention), Duration(maxRetention))
}

func (v *validator) baseModels(names []string) map[string]bool {
	known := map[string]bool{}
	for i, name := range names {
		path := fmt.Sprintf("base_models[%d]", i)
		v.name(path, name)
		v.check(!known[name], path, "%q is declared twice", name)
		known[name] = true
	}
	return known
}

func (v *validator) organisations(list []Organisation) map[string]bool {
	known := map[string]bool{}
	credentials := map[string]string{}
	for i, o := range list {
		path := entryPath("organisations", i, o.Name)
		v.name(path+".name", o.Name)
		v.check(!known[o.Name], path, "declared twice")
		known[o.Name] = true
		v.weight(path+".share", o.Share)
		raw, err := hex.DecodeString(o.CredentialSHA256)
		lower := strings.ToLower(o.CredentialSHA256) == o.CredentialSHA256
		v.check(err == nil && len(raw) == credentialBytes && lower,
			path+".credential_sha256", "allowed: a SHA-256 as %d lower-case hexadecimal digits", 2*credentialBytes)
		other := credentials[o.CredentialSHA256]
		v.check(other == "", path+".credential_sha256", "is also the credential of %s", other)
		credentials[o.CredentialSHA256] = o.Name
	}
	return known
}

func (v *validator) adapters(list []Adapter, organisations, models map[string]bool) {
	known := map[string]bool{}
	for i, a := range list {
		path := entryPath("adapters", i, a.Key())
		v.name(path+".name", a.Name)
		v.check(!known[a.Key()], path, "declared twice")
		known[a.Key()] = true
		v.check(organisations[a.Organisation], path+".organisation", "%q is not declared", a.Organisation)
		v.check(models[a.BaseModel], path+".base_model", "%q is not in base_models", a.BaseModel)
		v.versions(path, a.Versions)
	}
}

func (v *validator) versions(path string, versions []string) {
	v.check(len(versions) >= 1 && len(versions) <= maxVersions, path+".versions",
		"%d versions are refused; allowed: 1 to %d", len(versions), maxVersions)
	known := map[string]bool{}
	for i, version := range versions {
		at := fmt.Sprintf("%s.versions[%d]", path, i)
		v.name(at, version)
		v.check(!known[version], at, "%q is declared twice", version)
		known[version] = true
	}
}

func (v *validator) kinds(list []Kind, organisations map[string]bool) {
	known := map[string]bool{}
	for i, k := range list {
		path := entryPath("kinds", i, k.Key())
		v.name(path+".name", k.Name)
		v.check(!known[k.Key()], path, "declared twice")
		known[k.Key()] = true
		v.check(organisations[k.Organisation], path+".organisation", "%q is not declared", k.Organisation)
		if k.Application != "" {
			v.name(path+".application", k.Application)
		}
		v.weight(path+".worth", k.Worth)
		deadline := time.Duration(k.Deadline)
		v.check(deadline > 0 && deadline <= maxDeadline, path+".deadline",
			"%s is refused; allowed: above 0s, up to %s", k.Deadline, Duration(maxDeadline))
	}
}

// entryPath names an entry by its key, because the order of entries has no
// meaning, and by its position when it has no key.
func entryPath(list string, position int, key string) string {
	if strings.Trim(key, "/") == "" {
		return fmt.Sprintf("%s[%d]", list, position)
	}
	return list + "[" + key + "]"
}
