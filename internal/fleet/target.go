package fleet

import "time"

// HeldAdapter is an adapter on a target. Version 0 is unknown.
type HeldAdapter struct {
	Name    string
	Version int64
}

// HeldModel is a base model on a target, with its adapters.
type HeldModel struct {
	Name     string
	Version  int64
	Adapters []HeldAdapter
}

// Target is one back end as it describes itself.
type Target struct {
	ID         string
	Service    string
	Address    string // ip:port
	DataCentre string
	Slots      int   // requests at the same time
	Born       int64 // Unix milliseconds of its start
	Sequence   int64 // of its descriptions, within one start
	Leaving    bool
	Remaining  time.Duration // until it is gone, zero if not announced
	Models     []HeldModel
	OnDisk     []string // base models that it can load from its own disk
}

// Holds returns the base model if the target's description lists it.
func (t *Target) Holds(model string) *HeldModel {
	for i := range t.Models {
		if t.Models[i].Name == model {
			return &t.Models[i]
		}
	}
	return nil
}
