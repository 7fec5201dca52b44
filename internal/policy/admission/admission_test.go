package admission_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/policy/admission"
)

// Guards against a queue that fills up with requests that can only be answered
// late, and against the refusal of the most valuable requests at peak load.
func TestEarlyRefusesRequestsThatWouldMissTheirDeadlines(t *testing.T) {
	g := gomega.NewWithT(t)
	a := admission.Arrival{Slack: 2 * time.Second, ServiceTime: time.Second, ExpectedWait: 3 * time.Second, Density: 1, QueueDensity: 1}
	g.Expect(admission.Early{}.Refuse(a)).To(gomega.BeTrue())
	a.Density = 2
	g.Expect(admission.Early{}.Refuse(a)).To(gomega.BeFalse())
	a.ServiceTime = 3 * time.Second
	g.Expect(admission.Early{}.Refuse(a)).To(gomega.BeTrue())
	g.Expect(admission.DeadlineOnly{}.Refuse(a)).To(gomega.BeFalse())
}
