package account

import (
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

// MaxHeldIncarnations is the largest number of incarnations whose counters a
// ledger holds. Two of 350 VMs hold each, so that about two are usual.
const MaxHeldIncarnations = 64

// Bounds of a row from a peer. A row has twelve counters.
const (
	maxNameBytes = 256
	maxCounters  = 16
)

// Hold keeps another VM's counters until they are in the store. Repeats do no
// harm. It fails with errs.Overloaded at the bounds.
func (l *Ledger) Hold(document Document) error {
	if document.Holder == l.self {
		return nil
	}
	if err := document.validate(); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.held[document.Holder]
	if held == nil {
		if len(l.held) >= MaxHeldIncarnations {
			return errs.New(errs.Overloaded, "this VM holds the counters of too many incarnations")
		}
		empty := newDocument(document.Holder)
		held = &empty
	}
	merged := held.clone()
	merged.merge(document)
	if err := merged.validate(); err != nil {
		return err
	}
	l.held[document.Holder] = &merged
	return nil
}

// validate checks the bounds of a document. It fails with errs.TooLarge.
func (d *Document) validate() error {
	if len(d.Rows) > MaxOrganisations+1 {
		return errs.New(errs.TooLarge, "the counters have too many organisations")
	}
	for organisation, row := range d.Rows {
		if len(organisation) > maxNameBytes || len(row) > maxCounters {
			return errs.New(errs.TooLarge, "the counters have an oversized row")
		}
	}
	return nil
}

// heldDocuments returns copies of the counters held for others.
func (l *Ledger) heldDocuments() []Document {
	l.mu.Lock()
	defer l.mu.Unlock()
	var documents []Document
	for _, document := range l.held {
		documents = append(documents, document.clone())
	}
	return documents
}

// release drops held counters that are in the store.
func (l *Ledger) release(holder model.Holder) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.held, holder)
}
