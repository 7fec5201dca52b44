package core

// record enters a finished request into the account once.
func (c *Core) record(p *permitRow, e PermitReleased) {
	if p.recorded {
		return
	}
	p.recorded = true
	c.emit(RecordGiven{
		ID: p.permit.Request, Organisation: p.permit.Organisation, Kind: p.permit.Kind,
		Target: p.target.info.Name, Holder: p.holder, Outcome: e.Outcome, Usage: e.Usage,
	})
}
