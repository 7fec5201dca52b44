package core

// recordUsage emits the usage record of a finished request. It emits only one
// record per permit.
func (c *Core) recordUsage(p *permitRow, e PermitReleased) {
	if p.recorded {
		return
	}
	p.recorded = true
	c.emit(RecordGiven{
		ID: p.permit.Request, Organisation: p.permit.Organisation, Kind: p.permit.Kind,
		Target: p.target.info.Name, Holder: p.holder, Outcome: e.Outcome, Usage: e.Usage,
	})
}
