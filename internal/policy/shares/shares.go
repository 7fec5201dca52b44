package shares

// minimumShare is the share of an organisation whose share is zero. It is
// served only when the others leave capacity idle.
const minimumShare = 1e-6

type account struct {
	share   float64
	virtual float64 // work received divided by the share
}

// Ledger orders organisations, named by small indexes, by the work that they
// received relative to their shares.
type Ledger struct {
	accounts []account
	virtual  float64 // of the organisation that was last served
	credit   float64 // work that an idle organisation is repaid at most
}

// SetCredit sets the work that an organisation with the whole capacity as its
// share is repaid after it was idle; others are repaid in proportion.
func (l *Ledger) SetCredit(work float64) { l.credit = work }

// SetShare sets the share of an organisation, normally as part of one.
func (l *Ledger) SetShare(organisation int, share float64) {
	l.grow(organisation)
	l.accounts[organisation].share = max(share, minimumShare)
}

func (l *Ledger) grow(organisation int) {
	for len(l.accounts) <= organisation {
		l.accounts = append(l.accounts, account{share: minimumShare, virtual: l.virtual})
	}
}

// Position returns what an organisation received relative to its share. The
// organisation with the lowest position is served next. The credit bounds how
// far it lies behind, so that capacity lent during a long idle time, or while
// an adapter was being loaded, does not shut out the others on return.
func (l *Ledger) Position(organisation int) float64 {
	l.grow(organisation)
	return max(l.accounts[organisation].virtual, l.virtual-l.credit)
}

// Charge enters work that was granted to an organisation.
func (l *Ledger) Charge(organisation int, work float64) {
	start := l.Position(organisation)
	l.virtual = max(l.virtual, start)
	l.accounts[organisation].virtual = start + work/l.accounts[organisation].share
}

// Correct enters the difference between the work done and the work charged.
func (l *Ledger) Correct(organisation int, difference float64) {
	l.grow(organisation)
	l.accounts[organisation].virtual += difference / l.accounts[organisation].share
}
