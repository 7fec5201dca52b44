package fleet

import "time"

// ResidentAdapter is an adapter that is loaded on a target. Version 0 means that the
// version is unknown.
type ResidentAdapter struct {
	Name    string
	Version int64
}

// ResidentModel is a base model that is loaded on a target, with its adapters.
type ResidentModel struct {
	Name     string
	Version  int64
	Adapters []ResidentAdapter
}

// Target is one back end, as its own description states it. VMs send it to each other
// with gob, so its field names are part of the protocol.
type Target struct {
	ID         string
	Service    string
	Address    string // IP address and port
	DataCentre string
	Slots      int             // maximum number of concurrent requests
	Born       int64           // start time of the target, in Unix milliseconds
	Sequence   int64           // number of the description, counted from the target's start
	Leaving    bool            // whether the target is about to stop and takes no new requests
	Remaining  time.Duration   // time until the target stops; zero if not announced
	Models     []ResidentModel // base models in memory
	OnDisk     []string        // base models that the target can load from its own disk
}

// FindModel returns the base model with the given name if the target's description
// lists it as loaded, or nil.
func (t *Target) FindModel(model string) *ResidentModel {
	for i := range t.Models {
		if t.Models[i].Name == model {
			return &t.Models[i]
		}
	}
	return nil
}
