package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"
	"time"

	"cicadaslip/internal/errs"
)

// Limits for the values of a document.
const (
	maxNameLength    = 64     // bytes
	maxVersions      = 1000   // per adapter
	maxLoadRate      = 10_000 // loads/s
	maxJournalShards = 256
	maxGroupsPerPool = 1024
	minRetention     = time.Minute
	maxRetention     = 30 * 24 * time.Hour
	maxDeadline      = time.Hour
	maxWeight        = 1e6 // of an organisation's share or a kind's worth
	credentialBytes  = 32  // length of a SHA-256 digest
)

// Validate checks a normalised document. It returns one errs.InvalidConfig
// whose Details list every validation error with its path.
func (d *Document) Validate() error {
	v := &validator{}
	v.checkScalars(d)
	models := v.checkBaseModels(d.BaseModels)
	organisations := v.checkOrganisations(d.Organisations)
	v.checkAdapters(d.Adapters, organisations, models)
	v.checkKinds(d.Kinds, organisations)
	if len(v.faults) == 0 {
		return nil
	}
	message := fmt.Sprintf("%d faults in the configuration", len(v.faults))
	return errs.New(errs.InvalidConfig, message).WithDetails(v.faults...)
}

// validator collects validation errors.
type validator struct{ faults []string }

// check records an error for path unless ok is true.
func (v *validator) check(ok bool, path, format string, args ...any) {
	if !ok {
		v.faults = append(v.faults, path+": "+fmt.Sprintf(format, args...))
	}
}

// checkName checks the name of an entry or version.
func (v *validator) checkName(path, name string) {
	v.check(validName(name), path, "%q is refused; allowed: 1 to %d of a-z, A-Z, 0-9, '-', '_', '.', beginning with a letter or digit", name, maxNameLength)
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameLength || strings.ContainsAny(name[:1], "-_.") {
		return false
	}
	return strings.Trim(name, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
}

// checkWeight checks a relative share or worth.
func (v *validator) checkWeight(path string, weight float64) {
	v.check(weight > 0 && weight <= maxWeight, path, "%v is refused; allowed: above 0, up to %v", weight, maxWeight)
}

func (v *validator) checkScalars(d *Document) {
	v.check(d.LoadRate > 0 && d.LoadRate <= maxLoadRate && !math.IsNaN(d.LoadRate),
		"load_rate", "%v is refused; allowed: above 0, up to %v loads/s", d.LoadRate, maxLoadRate)
	v.check(d.JournalShards >= 1 && d.JournalShards <= maxJournalShards,
		"journal_shards", "%d is refused; allowed: 1 to %d", d.JournalShards, maxJournalShards)
	v.check(d.GroupsPerPool >= 1 && d.GroupsPerPool <= maxGroupsPerPool,
		"groups_per_pool", "%d is refused; allowed: 1 to %d", d.GroupsPerPool, maxGroupsPerPool)
	retention := time.Duration(d.Retention)
	v.check(retention >= minRetention && retention <= maxRetention,
		"retention", "%s is refused; allowed: %s to %s", d.Retention, Duration(minRetention), Duration(maxRetention))
}

// checkBaseModels checks the base models and returns the set of their names.
func (v *validator) checkBaseModels(names []string) map[string]bool {
	declared := map[string]bool{}
	for i, name := range names {
		path := fmt.Sprintf("base_models[%d]", i)
		v.checkName(path, name)
		v.check(!declared[name], path, "%q is declared twice", name)
		declared[name] = true
	}
	return declared
}

// checkOrganisations checks the organisations and returns the set of their
// names.
func (v *validator) checkOrganisations(list []Organisation) map[string]bool {
	declared := map[string]bool{}
	credentials := map[string]string{}
	for i, o := range list {
		path := entryPath("organisations", i, o.Name)
		v.checkName(path+".name", o.Name)
		v.check(!declared[o.Name], path, "declared twice")
		declared[o.Name] = true
		v.checkWeight(path+".share", o.Share)
		raw, err := hex.DecodeString(o.CredentialSHA256)
		isLowerCase := strings.ToLower(o.CredentialSHA256) == o.CredentialSHA256
		v.check(err == nil && len(raw) == credentialBytes && isLowerCase,
			path+".credential_sha256", "allowed: a SHA-256 as %d lower-case hexadecimal digits", 2*credentialBytes)
		other := credentials[o.CredentialSHA256]
		v.check(other == "", path+".credential_sha256", "is also the credential of %s", other)
		credentials[o.CredentialSHA256] = o.Name
	}
	return declared
}

func (v *validator) checkAdapters(list []Adapter, organisations, models map[string]bool) {
	declared := map[string]bool{}
	for i, a := range list {
		path := entryPath("adapters", i, a.Key())
		v.checkName(path+".name", a.Name)
		v.check(!declared[a.Key()], path, "declared twice")
		declared[a.Key()] = true
		v.check(organisations[a.Organisation], path+".organisation", "%q is not declared", a.Organisation)
		v.check(models[a.BaseModel], path+".base_model", "%q is not in base_models", a.BaseModel)
		v.checkVersions(path, a.Versions)
	}
}

func (v *validator) checkVersions(path string, versions []string) {
	v.check(len(versions) >= 1 && len(versions) <= maxVersions, path+".versions",
		"%d versions are refused; allowed: 1 to %d", len(versions), maxVersions)
	declared := map[string]bool{}
	for i, version := range versions {
		versionPath := fmt.Sprintf("%s.versions[%d]", path, i)
		v.checkName(versionPath, version)
		v.check(!declared[version], versionPath, "%q is declared twice", version)
		declared[version] = true
	}
}

func (v *validator) checkKinds(list []Kind, organisations map[string]bool) {
	declared := map[string]bool{}
	for i, k := range list {
		path := entryPath("kinds", i, k.Key())
		v.checkName(path+".name", k.Name)
		v.check(!declared[k.Key()], path, "declared twice")
		declared[k.Key()] = true
		v.check(organisations[k.Organisation], path+".organisation", "%q is not declared", k.Organisation)
		if k.Application != "" {
			v.checkName(path+".application", k.Application)
		}
		v.checkWeight(path+".worth", k.Worth)
		deadline := time.Duration(k.Deadline)
		v.check(deadline > 0 && deadline <= maxDeadline, path+".deadline",
			"%s is refused; allowed: above 0s, up to %s", k.Deadline, Duration(maxDeadline))
	}
}

// entryPath returns the path of an entry in a list. It identifies the entry by
// its key, because the order of entries has no meaning, or by its position if
// the key is empty.
func entryPath(list string, position int, key string) string {
	if strings.Trim(key, "/") == "" {
		return fmt.Sprintf("%s[%d]", list, position)
	}
	return list + "[" + key + "]"
}
