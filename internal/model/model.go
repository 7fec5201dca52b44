package model

import (
	"strings"
	"time"

	"cicadaslip/internal/errs"
)

// Incarnation identifies one run of a daemon. A later start of the same VM has
// a greater value.
type Incarnation uint64

// RequestID identifies one caller's request. It is unique over all VMs.
type RequestID string

// Epoch is the fencing token of a target group's owner. It rises by one with
// each takeover.
type Epoch uint64

// Holder is one incarnation of a VM that holds permits, claims or ownership.
type Holder struct {
	VM          string
	Incarnation Incarnation
}

// VM is one entry VM as its registration in the store shows it.
type VM struct {
	Name        string      `json:"name"`
	Incarnation Incarnation `json:"incarnation"`
	DataCentre  string      `json:"data_centre"`
	Region      string      `json:"region"`
	CallerAddr  string      `json:"caller_addr"`   // HTTP for callers, ip:port
	PeerRPCAddr string      `json:"peer_rpc_addr"` // net/rpc over TLS, ip:port
	PeerUDPAddr string      `json:"peer_udp_addr"` // heartbeats, ip:port
}

// TargetClass says what kind of back end a target is.
type TargetClass string

// Classes of targets.
const (
	ClassRunner  TargetClass = "runner"  // model engine with adapter slots
	ClassService TargetClass = "service" // plain HTTP service
)

// Target is one back end as the platform's list shows it.
type Target struct {
	Name          string      `json:"name"`
	Class         TargetClass `json:"class"`
	Address       string      `json:"address"` // ip:port
	DataCentre    string      `json:"data_centre"`
	Region        string      `json:"region"`
	BaseModel     string      `json:"base_model,omitempty"`  // runners only
	Application   string      `json:"application,omitempty"` // services only
	Slots         int         `json:"slots,omitempty"`       // adapter slots, runners only
	Concurrency   int         `json:"concurrency"`           // requests served at the same time
	ChecksFencing bool        `json:"checks_fencing"`        // refuses orders with an old epoch
	Leaving       bool        `json:"leaving"`
}

// ListedVM is one VM of the system as the platform's list shows it.
type ListedVM struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Listing is one answer of the platform's lagging list.
type Listing struct {
	VMs     []ListedVM `json:"vms"`
	Targets []Target   `json:"targets"`
}

// AdapterVersion names one version of one organisation's adapter.
type AdapterVersion struct {
	Organisation string
	Adapter      string
	Version      string
}

// String returns "organisation/adapter@version".
func (a AdapterVersion) String() string {
	return a.Organisation + "/" + a.Adapter + "@" + a.Version
}

// IsZero reports whether no adapter is named.
func (a AdapterVersion) IsZero() bool { return a == AdapterVersion{} }

// ParseAdapterVersion parses "organisation/adapter@version".
func ParseAdapterVersion(text string) (AdapterVersion, error) {
	org, rest, found := strings.Cut(text, "/")
	name, version, found2 := strings.Cut(rest, "@")
	if !found || !found2 || org == "" || name == "" || version == "" || strings.ContainsAny(rest, "/") {
		return AdapterVersion{}, errs.New(errs.InvalidRequest, "model must be organisation/adapter@version")
	}
	return AdapterVersion{Organisation: org, Adapter: name, Version: version}, nil
}

// Organisation is a customer that shares the capacity.
type Organisation struct {
	Name           string  `json:"name"`
	CredentialHash string  `json:"credential_sha256"` // hex SHA-256 of the bearer token
	Share          float64 `json:"share"`             // relative weight of capacity
}

// Adapter is a LoRA adapter of one organisation.
type Adapter struct {
	Organisation string   `json:"organisation"`
	Name         string   `json:"name"`
	BaseModel    string   `json:"base_model"`
	Versions     []string `json:"versions"`
}

// Kind declares one kind of request.
type Kind struct {
	Organisation string        `json:"organisation"`
	Name         string        `json:"name"`
	Application  string        `json:"application,omitempty"` // service that runs it; empty for inference
	AtMostOnce   bool          `json:"at_most_once"`          // may not be repeated
	Worth        float64       `json:"worth"`                 // value of one answer in time, relative
	Deadline     time.Duration `json:"deadline_ns"`           // whole answer due after arrival
}

// Configuration is one version of the declared configuration.
type Configuration struct {
	Version       uint64
	Organisations map[string]Organisation
	Adapters      map[string]Adapter // by "organisation/adapter"
	Kinds         map[string]Kind    // by "organisation/kind"
	JournalShards int
	Retention     time.Duration // of at-most-once claims
	BaseModels    []string      // that adapters may belong to
	LoadRate      float64       // of the weights store, loads/s
	GroupsPerPool int           // target groups per data centre and base model or application
}
