package tenure_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/tenure"
)

// Guards against an epoch that is given twice: the object of the current era is removed, and a
// list still has the one of an earlier era.
func TestFormerRecordDoesNotReplaceARemovedOne(t *testing.T) {
	g := gomega.NewWithT(t)
	m := tenure.New(tenure.Candidate{VM: "b"})
	former := tenure.Record{Owner: "a", Incarnation: 1, Epoch: 4}
	m.SetRecord(0, former, 2)
	first := m.RecordAfter(tenure.TakeOver, "b")
	m.SetRecord(time.Second, first, 2)
	m.SetAbsent(2*time.Second, 2)
	m.SetRecord(2*time.Second, former, 2)
	g.Expect(m.RecordAfter(tenure.TakeOver, "b").Epoch).To(gomega.BeNumerically(">", first.Epoch))
}
