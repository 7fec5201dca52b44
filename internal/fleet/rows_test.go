package fleet_test

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/fleet"
)

// Guards against a row of another VM that can't be used and hides the others, stays in use, or
// makes each later row of its target count as old.
func TestOddRowsOfOtherVMsHideNoOther(t *testing.T) {
	now := time.Now()
	sound := func(id string, change func(*fleet.Row)) fleet.Row {
		r := fleet.Row{Revision: 5, Target: fleet.Target{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "d", Slots: 8, Born: 7, Sequence: 1}}
		if change != nil {
			change(&r)
		}
		return r
	}
	for name, change := range map[string]func(*fleet.Row){
		"port 0":           func(r *fleet.Row) { r.Target.Address = "10.0.0.1:0" },
		"no address":       func(r *fleet.Row) { r.Target.Address = "" },
		"negative slots":   func(r *fleet.Row) { r.Target.Slots = -3 },
		"many slots":       func(r *fleet.Row) { r.Target.Slots = math.MaxInt },
		"a future start":   func(r *fleet.Row) { r.Target.Born = math.MaxInt64 },
		"a large sequence": func(r *fleet.Row) { r.Target.Sequence = math.MaxInt64 },
		"a long time left": func(r *fleet.Row) { r.Target.Remaining = math.MaxInt64 },
		"an odd model":     func(r *fleet.Row) { r.Target.Models = []fleet.ResidentModel{{Version: -1}} },
		"kept for long":    func(r *fleet.Row) { r.Missing, r.Kept, r.Target.Slots = true, math.MaxInt64, -1 },
		"no name":          func(r *fleet.Row) { r.Target.ID = "" },
		"an odd name":      func(r *fleet.Row) { r.Target.ID = "a\r\nb" },
		"a late revision":  func(r *fleet.Row) { r.Revision = math.MaxInt64 },
		"an old revision":  func(r *fleet.Row) { r.Revision = -1 },
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := fleet.NewRegistry()
			r.Put(now, fleet.StoredTarget{Target: sound("odd", nil).Target, Revision: 3})
			rows, ignored := fleet.CheckRows(now, 6, []fleet.Row{sound("a", nil), sound("odd", change), sound("b", nil), {Target: fleet.Target{ID: "c"}, Revision: 4, Missing: true}})
			g.Expect(ignored).To(gomega.HaveLen(1))
			r.Apply(now, fleet.Changes{AsOf: 6, Rows: rows})
			var ids []string
			for _, target := range r.Targets(now) {
				g.Expect(target.Check(now)).To(gomega.Succeed())
				ids = append(ids, target.ID)
			}
			if name == "no name" || name == "an odd name" || name == "a late revision" || name == "an old revision" {
				g.Expect(ids).To(gomega.Equal([]string{"a", "b", "odd"}), "which target the row is of, or whether it is newer, is not known")
			} else {
				g.Expect(ids).To(gomega.Equal([]string{"a", "b"}))
			}
			r.Apply(now, fleet.Changes{AsOf: 9, Rows: []fleet.Row{sound("odd", func(r *fleet.Row) { r.Revision, r.Target.Sequence = 8, 2 })}})
			g.Expect(r.Targets(now)).To(gomega.HaveLen(3), "its next sound row")
		})
	}
	g := gomega.NewWithT(t)
	rows, ignored := fleet.CheckRows(now, 6, []fleet.Row{sound("a", func(r *fleet.Row) { r.Missing, r.Kept = true, math.MaxInt64 }), sound("b", func(r *fleet.Row) { r.Missing, r.Kept = true, -1 })})
	g.Expect(ignored).To(gomega.BeEmpty())
	g.Expect(rows[0].Kept).To(gomega.BeNumerically("<=", 5*time.Second))
	g.Expect(rows[1].Kept).To(gomega.BeZero())
}
