package model

import (
	"strings"
	"time"

	"cicadaslip/internal/errs"
)

// Incarnation identifies one run of a daemon. A later run on the same VM has a
// greater value.
type Incarnation uint64

// RequestID identifies one request of a caller. It is unique across all VMs.
type RequestID string

// Epoch is the fencing token of the owner of a target group. It increases by one
// with each takeover of the group.
type Epoch uint64

// Holder is one incarnation of a VM that holds permits, claims or ownership.
type Holder struct {
	VM          string
	Incarnation Incarnation
}

// VM is the registration of an entry VM in the store. An entry VM runs the daemon
// that serves callers.
type VM struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	DataCentre  string      `json:"data_centre"`
	Region      string      `json:"region"`
	CallerAddr  string      `json:"caller_addr"`   // address for HTTP requests of callers, ip:port
	PeerRPCAddr string      `json:"peer_rpc_addr"` // address for net/rpc over TLS, ip:port
	PeerUDPAddr string      `json:"peer_udp_addr"` // address for heartbeats, ip:port
}

// TargetClass is the kind of back end that a target is.
type TargetClass string

// Classes of targets.
const (
	ClassRunner  TargetClass = "runner"  // model engine with adapter slots
	ClassService TargetClass = "service" // plain HTTP service
)

// Target is one back end as listed by the platform.
type Target struct {
	Name          string      `json:"name"`
	Class         TargetClass `json:"class"`
	Address       string      `json:"address"` // ip:port
	DataCentre    string      `json:"data_centre"`
	Region        string      `json:"region"`
	BaseModel     string      `json:"base_model,omitempty"`  // runners only
	Application   string      `json:"application,omitempty"` // services only
	Slots         int         `json:"slots,omitempty"`       // number of adapter slots, runners only
	Concurrency   int         `json:"concurrency"`           // number of requests served at the same time
	ChecksFencing bool        `json:"checks_fencing"`        // the target refuses orders with an old epoch
	Leaving       bool        `json:"leaving"`               // the target is about to be removed
}

// ListedVM is one VM of the system as listed by the platform.
type ListedVM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"` // the VM is about to be removed
}

// Listing is one response of the platform's list of VMs and targets, which lags
// behind the actual state.
type Listing struct {
	VMs     []ListedVM `json:"vms"`
	Targets []Target   `json:"targets"`
}

// AdapterVersion identifies one version of an adapter of an organisation.
type AdapterVersion struct {
	Organisation string
	Adapter      string
	Version      string
}

// String returns "organisation/adapter@version".
func (a AdapterVersion) String() string {
	return a.Organisation + "/" + a.Adapter + "@" + a.Version
}

// IsZero reports whether a identifies no adapter.
func (a AdapterVersion) IsZero() bool { return a == AdapterVersion{} }

// ParseAdapterVersion parses "organisation/adapter@version". It fails with
// errs.InvalidRequest if text has another form or an empty part.
func ParseAdapterVersion(text string) (AdapterVersion, error) {
	org, adapterAndVersion, hasAdapter := strings.Cut(text, "/")
	name, version, hasVersion := strings.Cut(adapterAndVersion, "@")
	if !hasAdapter || !hasVersion || org == "" || name == "" || version == "" || strings.ContainsAny(adapterAndVersion, "/") {
		return AdapterVersion{}, errs.New(errs.InvalidRequest, "model must be organisation/adapter@version")
	}
	return AdapterVersion{Organisation: org, Adapter: name, Version: version}, nil
}

// Organisation is a customer that shares the capacity of the system.
type Organisation struct {
	Name           string  `json:"name"`
	CredentialHash string  `json:"credential_sha256"` // hex SHA-256 of the bearer token
	Share          float64 `json:"share"`             // weight by which capacity is shared, relative to other organisations
}

// Adapter is a LoRA adapter of one organisation.
type Adapter struct {
	Organisation string   `json:"organisation"`
	Name         string   `json:"name"`
	BaseModel    string   `json:"base_model"`
	Versions     []string `json:"versions"`
}

// Kind is a declared kind of request of one organisation.
type Kind struct {
	Organisation string        `json:"organisation"`
	Name         string        `json:"name"`
	Application  string        `json:"application,omitempty"` // service application that runs the requests, empty for inference
	AtMostOnce   bool          `json:"at_most_once"`          // a request must not be run more than once
	Worth        float64       `json:"worth"`                 // relative value of an answer that arrives by its deadline
	Deadline     time.Duration `json:"deadline_ns"`           // time from arrival until the whole answer is due
}

// Configuration is one version of the declared configuration.
type Configuration struct {
	Version       uint64
	Organisations map[string]Organisation // by name
	Adapters      map[string]Adapter      // by "organisation/adapter"
	Kinds         map[string]Kind         // by "organisation/kind"
	JournalShards int                     // number of shards of the journal of at-most-once claims
	Retention     time.Duration           // how long at-most-once claims are kept
	BaseModels    []string                // base models that adapters may belong to
	LoadRate      float64                 // loads per second that the weights store supports
	GroupsPerPool int                     // target groups per data centre and base model or application
}
