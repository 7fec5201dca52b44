package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/admission"
)

// Guards against a queue that fills with requests that can only be late, and
// against the refusal of the most valuable ones at peak.
func TestEarlyRefusesWhatWouldWaitTooLong(t *testing.T) {
	g := gomega.NewWithT(t)
	a := admission.Arrival{Slack: 2 * time.Second, Service: time.Second, Wait: 3 * time.Second, Density: 1, Typical: 1}
	g.Expect(admission.Early{}.Refuse(a)).To(gomega.BeTrue())
	a.Density = 2
	g.Expect(admission.Early{}.Refuse(a)).To(gomega.BeFalse())
	a.Service = 3 * time.Second
	g.Expect(admission.Early{}.Refuse(a)).To(gomega.BeTrue())
	g.Expect(admission.DeadlineOnly{}.Refuse(a)).To(gomega.BeFalse())
}
