package settings

import "time"

// Settings contains all settings of one daemon.
type Settings struct {
	VM         VM         `yaml:"vm"`
	Addresses  Addresses  `yaml:"addresses"`
	Cluster    Cluster    `yaml:"cluster"`
	Platform   Platform   `yaml:"platform"`
	Limits     Limits     `yaml:"limits"`
	Membership Membership `yaml:"membership"`
	Shutdown   Shutdown   `yaml:"shutdown"`
	Cleanup    Cleanup    `yaml:"cleanup"`
	Timeline   Timeline   `yaml:"timeline"`
	Log        Log        `yaml:"log"`
}

// VM identifies the machine that the daemon runs on.
type VM struct {
	// Name of this VM, unique over the deployment, as in the platform's list.
	Name string `yaml:"name" format:"name" required:"true"`
	// Data centre (zone) of this VM. Required, because every address belongs to one.
	DataCentre string `yaml:"data_centre" format:"name" required:"true"`
	// Region of the data centre. Traffic between regions is billed.
	Region string `yaml:"region" format:"name" required:"true"`
}

// Addresses contains the addresses that the daemon listens on. With port 0, the
// kernel chooses a port.
type Addresses struct {
	// HTTP for callers.
	Caller string `yaml:"caller" format:"address" required:"true"`
	// net/rpc over TLS for peers and the command line.
	PeerRPC string `yaml:"peer_rpc" format:"address" required:"true"`
	// UDP heartbeats of peers.
	PeerUDP string `yaml:"peer_udp" format:"address" required:"true"`
	// HTTP for expvar metrics. Empty: no metrics are served.
	Metrics string `yaml:"metrics" format:"address"`
}

// Cluster contains the secret that the VMs of a deployment share. Exactly one
// of the two fields must be set.
type Cluster struct {
	// Secret from which the keys of the peer plane are derived, 32 characters or more.
	Secret string `yaml:"secret"`
	// File that holds the secret; spaces at its end are ignored.
	SecretFile string `yaml:"secret_file" format:"path"`
}

// Platform configures access to the platform's object API and to its list of
// VMs and targets.
type Platform struct {
	// HTTP address of the object API and the list.
	Address string `yaml:"address" format:"address" required:"true"`
	// Limit of one read, write or list call.
	CallTimeout time.Duration `yaml:"call_timeout" default:"2s" min:"10ms" max:"1m"`
	// Limit of opening a connection.
	DialTimeout time.Duration `yaml:"dial_timeout" default:"500ms" min:"10ms" max:"30s"`
	// Longest time that one watch call waits at the platform. If a connection stops responding, changes arrive later by up to this time plus call_timeout.
	WatchWait time.Duration `yaml:"watch_wait" default:"3s" min:"100ms" max:"1m"`
	// Interval between reads of the list of VMs and targets.
	ListInterval time.Duration `yaml:"list_interval" default:"1s" min:"50ms" max:"1m"`
	// Largest number of connections to the platform.
	Connections int `yaml:"connections" default:"32" min:"2" max:"1024"`
}

// Limits bounds the resources that one caller, or all callers together, can
// use.
type Limits struct {
	// Largest body of a request.
	BodyBytes Bytes `yaml:"body_bytes" default:"1MiB" min:"1KiB" max:"64MiB"`
	// Largest header of a request.
	HeaderBytes Bytes `yaml:"header_bytes" default:"16KiB" min:"1KiB" max:"1MiB"`
	// Limit of reading one request from a caller.
	ReadTimeout time.Duration `yaml:"read_timeout" default:"10s" min:"10ms" max:"10m"`
	// Limit of one write to a caller that does not read.
	WriteTimeout time.Duration `yaml:"write_timeout" default:"30s" min:"10ms" max:"10m"`
	// Time after which an idle connection of a caller is closed.
	IdleTimeout time.Duration `yaml:"idle_timeout" default:"1m" min:"10ms" max:"1h"`
	// Longest deadline that a request may have.
	RequestTimeout time.Duration `yaml:"request_timeout" default:"10m" min:"100ms" max:"1h"`
	// Largest number of connections of callers.
	Connections int `yaml:"connections" default:"4096" min:"1" max:"65536"`
	// Largest number of requests queued in one target group.
	QueueLength int `yaml:"queue_length" default:"1024" min:"1" max:"65536"`
	// Largest body of a response kept for repeats of an at-most-once call.
	RetainedResultBytes Bytes `yaml:"retained_result_bytes" default:"16KiB" min:"0B" max:"256KiB"`
}

// Membership configures the timing of heartbeats and of failure detection.
type Membership struct {
	// Interval between heartbeats to each peer.
	HeartbeatInterval time.Duration `yaml:"heartbeat_interval" default:"250ms" min:"10ms" max:"10s"`
	// Silence after which a peer is suspect; at least twice heartbeat_interval.
	SuspectAfter time.Duration `yaml:"suspect_after" default:"1s" min:"20ms" max:"1m"`
	// Silence after which a peer is unreachable; longer than suspect_after.
	UnreachableAfter time.Duration `yaml:"unreachable_after" default:"3s" min:"30ms" max:"5m"`
}

// Shutdown configures the behaviour on SIGTERM.
type Shutdown struct {
	// Longest time to wait for requests in flight. 0s: no limit.
	Limit time.Duration `yaml:"limit" default:"0s" min:"0s" max:"24h"`
}

// Cleanup configures the deletion of objects in the store that belong to VMs
// that no longer exist.
type Cleanup struct {
	// Interval between clean-up passes over the store. The VM that has the clean-up duty makes them.
	Interval time.Duration `yaml:"interval" default:"10m" min:"100ms" max:"24h"`
	// Time for which a VM must be gone from the platform's list before its registration is deleted. For the same time, the counters of a gone incarnation are kept separate from the totals in the roll-up of its VM.
	Retention time.Duration `yaml:"retention" default:"24h" min:"1s" max:"8760h"`
}

// Timeline configures the ring buffer of events of this process.
type Timeline struct {
	// Number of events kept.
	RingLength int `yaml:"ring_length" default:"65536" min:"16" max:"1048576"`
}

// Log configures the daemon's log on standard error.
type Log struct {
	// Lowest level that is written.
	Level string `yaml:"level" default:"info" allowed:"debug,info,warn,error"`
}
