package tenure_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/tenure"
)

// Guards against an outage of the store for all VMs at whose end the first VM that reaches the store
// again takes over groups from owners that reach it again as well: the VM may be too small for them.
func TestOutageForAllVMsMovesNoGroup(t *testing.T) {
	const lostAt, regainedAt = time.Second, 5 * time.Second
	for name, c := range map[string]struct {
		ownerRegains bool
		cutAlone     bool // the other VM reaches the store all the time
		takesOver    bool
	}{
		"the owner regains the store":    {ownerRegains: true},
		"the owner does not regain it":   {takesOver: true},
		"only the owner cannot reach it": {cutAlone: true, takesOver: true},
		"only the owner was cut off":     {cutAlone: true, ownerRegains: true, takesOver: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			m := tenure.New(tenure.Candidate{VM: "b", Jitter: 0.1})
			m.SetRecord(0, tenure.Record{Owner: "a", Epoch: 1}, 0)
			took := time.Duration(0)
			for now := time.Duration(0); now < regainedAt+5*time.Second && took == 0; now += 50 * time.Millisecond {
				lost := now >= lostAt && (now < regainedAt+1500*time.Millisecond || !c.ownerRegains)
				m.OwnerResponded(now, lost)
				if m.NextAction(now, c.cutAlone || now < lostAt || now >= regainedAt) == tenure.TakeOver {
					took = now
				}
			}
			switch {
			case !c.takesOver:
				g.Expect(took).To(gomega.BeZero())
			case c.cutAlone:
				g.Expect(took).To(gomega.And(gomega.BeNumerically(">", lostAt), gomega.BeNumerically("<", lostAt+time.Second)))
			default:
				g.Expect(took).To(gomega.And(gomega.BeNumerically(">", regainedAt+1500*time.Millisecond), gomega.BeNumerically("<", regainedAt+3*time.Second)))
			}
		})
	}
}

// Guards against a group whose owner is cut off from the store and is never replaced, because the
// store refuses a call of the other VM now and then.
func TestRefusedCallsDoNotKeepACutOwner(t *testing.T) {
	const lostAt, refusedFor = time.Second, 100 * time.Millisecond
	for _, every := range []time.Duration{300 * time.Millisecond, time.Second, 1900 * time.Millisecond} {
		g := gomega.NewWithT(t)
		m := tenure.New(tenure.Candidate{VM: "b", Jitter: 1})
		m.SetRecord(0, tenure.Record{Owner: "a", Epoch: 1}, objectstore.FirstEra)
		took := time.Duration(0)
		for now := time.Duration(0); now < lostAt+recoveryTime && took == 0; now += 50 * time.Millisecond {
			m.OwnerResponded(now, now >= lostAt)
			if m.NextAction(now, now%every >= refusedFor) == tenure.TakeOver {
				took = now
			}
		}
		g.Expect(took).To(gomega.BeNumerically(">", lostAt), "a refused call every %v", every)
	}
}
