package account

import (
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// MaxReplicas is the largest number of incarnations whose counters a ledger
// keeps for other VMs. Each of 350 VMs replicates its counters to two peers, so
// that a ledger usually keeps about two replicas.
const MaxReplicas = 64

// Bounds of a row received from a peer. A ledger writes rows of at most twelve
// counters.
const (
	maxNameBytes = 256
	maxCounters  = 16
)

// StoreReplica merges the counters of another VM into their replica, which is
// kept until they are in the store. Repeated calls are harmless. It fails with
// errs.Overloaded if the ledger already keeps MaxReplicas replicas, and with
// errs.TooLarge if the document is too large.
func (l *Ledger) StoreReplica(document Document) error {
	if document.Holder == l.self {
		return nil
	}
	if err := document.validate(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	replica := l.replicas[document.Holder]
	if replica == nil {
		if len(l.replicas) >= MaxReplicas {
			return errs.New(errs.Overloaded, "this VM already keeps replicas of the counters of too many incarnations")
		}
		empty := newDocument(document.Holder)
		replica = &empty
	}
	merged := replica.clone()
	merged.merge(document)
	if err := merged.validate(); err != nil {
		return err
	}
	l.replicas[document.Holder] = &merged
	return nil
}

// validate checks the size of a document. It fails with errs.TooLarge.
func (d *Document) validate() error {
	if len(d.Rows) > MaxOrganisations+1 {
		return errs.New(errs.TooLarge, "the usage document has too many organisations")
	}
	for organisation, row := range d.Rows {
		if len(organisation) > maxNameBytes || len(row) > maxCounters {
			return errs.New(errs.TooLarge, "the usage document has a row with too long a name or too many counters")
		}
	}
	return nil
}

// replicaDocuments returns copies of the replicas of other incarnations.
func (l *Ledger) replicaDocuments() []Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	var documents []Document
	for _, document := range l.replicas {
		documents = append(documents, document.clone())
	}
	return documents
}

// dropReplica removes the replica of an incarnation whose counters are in the
// store.
func (l *Ledger) dropReplica(holder model.Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.replicas, holder)
}
