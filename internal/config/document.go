package config

import (
	"sort"
	"strings"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// Defaults of values that a document may omit.
const (
	DefaultJournalShards = 8
	DefaultRetention     = 24 * time.Hour
	DefaultGroupsPerPool = 1
)

// Document is the configuration as operators declare it.
type Document struct {
	BaseModels    []string       `yaml:"base_models" json:"base_models"`
	LoadRate      float64        `yaml:"load_rate" json:"load_rate"`             // load rate of the weights store, in loads/s
	JournalShards int            `yaml:"journal_shards" json:"journal_shards"`   // cannot change after the first publication; 0: DefaultJournalShards
	Retention     Duration       `yaml:"retention" json:"retention"`             // how long at-most-once claims are kept; 0: DefaultRetention
	GroupsPerPool int            `yaml:"groups_per_pool" json:"groups_per_pool"` // target groups per data centre and base model or application; 0: DefaultGroupsPerPool
	Organisations []Organisation `yaml:"organisations" json:"organisations"`
	Adapters      []Adapter      `yaml:"adapters" json:"adapters"`
	Kinds         []Kind         `yaml:"kinds" json:"kinds"`
}

// Organisation is a customer that shares the capacity of the deployment.
type Organisation struct {
	Name             string  `yaml:"name" json:"name"`
	CredentialSHA256 string  `yaml:"credential_sha256" json:"credential_sha256"` // SHA-256 of the bearer token, in lower-case hexadecimal
	Share            float64 `yaml:"share" json:"share"`                         // relative weight in the division of capacity
}

// Adapter is a LoRA adapter of one organisation.
type Adapter struct {
	Organisation string   `yaml:"organisation" json:"organisation"`
	Name         string   `yaml:"name" json:"name"`
	BaseModel    string   `yaml:"base_model" json:"base_model"`
	Versions     []string `yaml:"versions,flow" json:"versions"`
}

// Key returns "organisation/name".
func (a Adapter) Key() string { return a.Organisation + "/" + a.Name }

// Kind declares one kind of request of one organisation.
type Kind struct {
	Organisation string   `yaml:"organisation" json:"organisation"`
	Name         string   `yaml:"name" json:"name"`
	Application  string   `yaml:"application,omitempty" json:"application,omitempty"` // service that executes the request; empty for inference
	AtMostOnce   bool     `yaml:"at_most_once,omitempty" json:"at_most_once,omitempty"`
	Worth        float64  `yaml:"worth" json:"worth"`       // relative value of one answer that meets the deadline
	Deadline     Duration `yaml:"deadline" json:"deadline"` // time from arrival until the whole answer is due
}

// Key returns "organisation/name".
func (k Kind) Key() string { return k.Organisation + "/" + k.Name }

// Duration is a time.Duration that is encoded as text with a unit, such as
// "24h".
type Duration time.Duration

// MarshalText returns the duration as text with a unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText parses a duration that has a unit.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errs.Wrap(err, errs.InvalidConfig, "a duration needs a unit, such as 250ms or 24h")
	}
	*d = Duration(parsed)
	return nil
}

// String returns the duration without trailing units that are zero, such as
// "24h" instead of "24h0m0s".
func (d Duration) String() string {
	text := time.Duration(d).String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// Normalised returns a copy with defaults filled in and the entries sorted by
// key. The order of an adapter's versions is kept.
func (d *Document) Normalised() *Document {
	n := *d
	if n.JournalShards == 0 {
		n.JournalShards = DefaultJournalShards
	}
	if n.Retention == 0 {
		n.Retention = Duration(DefaultRetention)
	}
	if n.GroupsPerPool == 0 {
		n.GroupsPerPool = DefaultGroupsPerPool
	}
	n.BaseModels = append([]string(nil), d.BaseModels...)
	sort.Strings(n.BaseModels)
	n.Organisations = sortedByKey(d.Organisations, func(o Organisation) string { return o.Name })
	n.Adapters = sortedByKey(d.Adapters, Adapter.Key)
	n.Kinds = sortedByKey(d.Kinds, Kind.Key)
	return &n
}

// sortedByKey returns a copy of items in the order of their keys.
func sortedByKey[T any](items []T, key func(T) string) []T {
	result := append([]T(nil), items...)
	sort.SliceStable(result, func(i, j int) bool { return key(result[i]) < key(result[j]) })
	return result
}

// Configuration converts the document into the form that the daemon uses.
func (d *Document) Configuration(version uint64) *model.Configuration {
	c := &model.Configuration{
		Version:       version,
		Organisations: make(map[string]model.Organisation, len(d.Organisations)),
		Adapters:      make(map[string]model.Adapter, len(d.Adapters)),
		Kinds:         make(map[string]model.Kind, len(d.Kinds)),
		JournalShards: d.JournalShards,
		Retention:     time.Duration(d.Retention),
		BaseModels:    d.BaseModels,
		LoadRate:      d.LoadRate,
		GroupsPerPool: d.GroupsPerPool,
	}
	for _, o := range d.Organisations {
		c.Organisations[o.Name] = model.Organisation{Name: o.Name, CredentialHash: o.CredentialSHA256, Share: o.Share}
	}
	for _, a := range d.Adapters {
		c.Adapters[a.Key()] = model.Adapter{
			Organisation: a.Organisation, Name: a.Name, BaseModel: a.BaseModel, Versions: a.Versions,
		}
	}
	for _, k := range d.Kinds {
		c.Kinds[k.Key()] = model.Kind{
			Organisation: k.Organisation, Name: k.Name, Application: k.Application,
			AtMostOnce: k.AtMostOnce, Worth: k.Worth, Deadline: time.Duration(k.Deadline),
		}
	}
	return c
}
