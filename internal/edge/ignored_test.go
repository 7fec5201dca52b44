package edge

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/metrics"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/ratelimit"
)

// Guards against entries of other writers that fill the log or the memory: each version of one
// is logged once, and no more versions than the bound in an interval.
func TestIgnoredEntriesAreLoggedOnceAVersion(t *testing.T) {
	g := gomega.NewWithT(t)
	var e ignoredEntries
	now := time.Now()
	g.Expect(e.add(now, ignoredEntry{key: "servers/x", revision: 1})).To(gomega.BeTrue())
	g.Expect(e.add(now, ignoredEntry{key: "servers/x", revision: 1})).To(gomega.BeFalse())
	g.Expect(e.add(now, ignoredEntry{key: "servers/x", revision: 2})).To(gomega.BeTrue())
	logged := 2
	for i := range 10 * maxIgnoredEntries {
		if e.add(now, ignoredEntry{key: fmt.Sprint("servers/", i)}) {
			logged++
		}
	}
	g.Expect(logged).To(gomega.Equal(maxIgnoredEntries))
	g.Expect(e.logged).To(gomega.HaveLen(maxIgnoredEntries))
	now = now.Add(ignoredLogInterval)
	g.Expect(e.add(now, ignoredEntry{key: "servers/y"})).To(gomega.BeTrue())
	g.Expect(e.logged).To(gomega.HaveLen(1))
}

// Guards against entries that can't be used and take memory without bound, because each is
// remembered with a reason that quotes it.
func TestReasonsOfIgnoredEntriesAreShort(t *testing.T) {
	g := gomega.NewWithT(t)
	var e ignoredEntries
	reason := strings.Repeat("x", 10*maxReasonBytes)
	g.Expect(e.add(time.Now(), ignoredEntry{key: "k", reason: reason})).To(gomega.BeTrue())
	for entry := range e.logged {
		g.Expect(len(entry.reason)).To(gomega.BeNumerically("<=", maxReasonBytes))
	}
	g.Expect(e.add(time.Now(), ignoredEntry{key: "k", reason: reason})).To(gomega.BeFalse())
}

// Guards against an object whose handling panics each time that it is listed, so that the others are
// not followed any more.
func TestPanicOverAnObjectHidesNoOther(t *testing.T) {
	g := gomega.NewWithT(t)
	d := &Daemon{metrics: metrics.NewWith(metrics.EdgeDefinitions), log: zerolog.Nop()}
	var applied []string
	revision := objectstore.Position(0)
	apply := func(o objectstore.Object) {
		if o.Key == "k/odd" {
			panic("odd object")
		}
		applied = append(applied, o.Key)
	}
	h := d.newObjectHandler("k", apply, apply, func(_, asOf objectstore.Position) { revision = asOf })
	objects := []objectstore.Object{{Key: "k/a"}, {Key: "k/odd"}, {Key: "k/invalid", Invalid: errs.New(errs.InvalidMessage, "not decoded")}, {Key: "k/b"}}
	h.Replace(objects, 7)
	var changes []objectstore.Change
	for _, o := range objects {
		changes = append(changes, objectstore.Change{Object: o})
	}
	g.Expect(revision).To(gomega.Equal(objectstore.Position(7)))
	h.Change(changes, 9)
	g.Expect(revision).To(gomega.Equal(objectstore.Position(9)))
	g.Expect(applied).To(gomega.Equal([]string{"k/a", "k/b", "k/a", "k/b"}))

	d.kinds.DecodeTarget = func(id string, _ []byte) (fleet.Target, error) {
		if id == "odd" {
			panic("odd description")
		}
		return fleet.Target{ID: id, Service: "s"}, nil
	}
	d.deployment = newDeployment(&Settings{DataCentre: "d"}, time.Now(), func() ratelimit.Position { return ratelimit.Position{VMs: 1} }, func(string) {}, nil, d.metrics)
	targets := &targetHandler{d: d}
	for _, o := range objects {
		_, ok := targets.decode(o)
		g.Expect(ok).To(gomega.Equal(o.Key == "k/a" || o.Key == "k/b"), o.Key)
	}
}
