package edge

import (
	"cmp"

	"github.com/rs/zerolog"

	"cicadaslip/internal/metrics"
	"cicadaslip/internal/placer"
)

// logAdmission adds the organisation of a refused request to a line, and the reason if that is
// its rank or share.
func logAdmission(line *zerolog.Event, command placer.RefuseRequest) *zerolog.Event {
	if command.Organisation != "" {
		line.Str(fieldOrganisation, command.Organisation)
	}
	if a := command.Admission; a != nil {
		line.Str(fieldCause, string(a.Cause)).Dur(fieldExpected, a.Expected).Float64(fieldServed, a.Served).Float64(fieldServedAll, a.All)
	}
	return line
}

// countGrant counts a request of an organisation that is granted.
func (o groupObserver) countGrant(organisation string) {
	if organisation != "" {
		o.d.metrics.Count(metrics.EdgeOrganisationGrants, o.d.deployment.organisationLabel(organisation))
	}
}

// countRefusal counts a refused request of an organisation, by the cause or the error code.
func (d *Daemon) countRefusal(command placer.RefuseRequest) {
	if command.Organisation == "" {
		return
	}
	cause := string(command.Err.Code)
	if a := command.Admission; a != nil {
		cause = cmp.Or(string(a.Cause), cause)
	}
	d.metrics.Count(metrics.EdgeOrganisationRefusals, d.deployment.organisationLabel(command.Organisation)+" "+cause)
}
