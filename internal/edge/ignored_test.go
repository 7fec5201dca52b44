package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
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
