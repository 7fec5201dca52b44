package shares

// minShare is the share that is used for an organisation whose share is zero. Such an
// organisation is served only when the others leave capacity idle.
const minShare = 1e-6

type account struct {
	share       float64
	virtualTime float64 // work received, divided by the share
}

// Ledger orders organisations by the work that they have received relative to their
// shares. Organisations are identified by small indexes.
type Ledger struct {
	accounts    []account
	virtualTime float64 // virtual time of the organisation that was served last; never decreases
	credit      float64 // maximum work that an idle organisation with a share of 1 is repaid
}

// SetCredit sets the maximum work that an organisation with a share of 1 is repaid
// after it was idle. Other organisations are repaid in proportion to their shares.
func (l *Ledger) SetCredit(work float64) { l.credit = work }

// SetShare sets the share of an organisation, normally from 0 to 1.
func (l *Ledger) SetShare(organisation int, share float64) {
	l.ensureAccount(organisation)
	l.accounts[organisation].share = max(share, minShare)
}

// ensureAccount creates the accounts up to that of an organisation if needed.
func (l *Ledger) ensureAccount(organisation int) {
	for len(l.accounts) <= organisation {
		l.accounts = append(l.accounts, account{share: minShare, virtualTime: l.virtualTime})
	}
}

// VirtualTime returns the work that an organisation has received, divided by its share.
// The organisation with the lowest virtual time should be served next. The credit
// bounds how far an organisation falls behind the others while it is idle or waits for
// an adapter load. Without a bound, it would block the others when it returns.
func (l *Ledger) VirtualTime(organisation int) float64 {
	l.ensureAccount(organisation)
	return max(l.accounts[organisation].virtualTime, l.virtualTime-l.credit)
}

// Charge records work that was granted to an organisation.
func (l *Ledger) Charge(organisation int, work float64) {
	start := l.VirtualTime(organisation)
	l.virtualTime = max(l.virtualTime, start)
	l.accounts[organisation].virtualTime = start + work/l.accounts[organisation].share
}

// Correct records the actual minus the charged work of an organisation's request.
func (l *Ledger) Correct(organisation int, difference float64) {
	l.ensureAccount(organisation)
	l.accounts[organisation].virtualTime += difference / l.accounts[organisation].share
}
