package quarantine_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/peer"
	"cicadaslip/internal/quarantine"
)

// maxTableBytes is well below what a VM may spend on control.
const maxTableBytes = 16 << 20

func liveBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a table whose memory, or whose message to another VM, grows with the number and the length of the parts that
// callers name in their prompts.
func TestMemoryOfATableIsBounded(t *testing.T) {
	const manyParts = 4000
	id := func(i int) string { return fmt.Sprintf("%x", i) }
	many := func(i int) []string {
		parts := make([]string, manyParts)
		for j := range parts {
			parts[j] = id(i*manyParts + j)
		}
		return parts
	}
	long := func(i int) string { return id(i) + strings.Repeat("f", 16<<10) }
	for name, fill := range map[string]func(table *quarantine.Table){
		"progress of parts with long IDs": func(table *quarantine.Table) {
			for i := range 6000 {
				table.Progressed(service, []string{long(i)})
			}
		},
		"progress of parts of long heads": func(table *quarantine.Table) {
			for i := range 6000 {
				head := long(i)
				table.Progressed(service, []string{head[:8]})
			}
		},
		"crashes with many parts": func(table *quarantine.Table) {
			for i := range 300 {
				table.Observe(quarantine.Break{Service: service, Crash: id(i), Request: id(i), Parts: many(i)})
			}
		},
		"crashes of other VMs with many parts": func(table *quarantine.Table) {
			for i := range 300 {
				table.Merge(quarantine.Delta{Observations: []quarantine.Observation{{
					Origin: "vm1", Number: uint64(i), Break: quarantine.Break{Service: service, Crash: id(i), Request: long(i), Parts: many(i)},
				}}})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			c := &clock{now: time.Hour}
			table := c.table("vm0")
			before := liveBytes()
			fill(table)
			g.Expect(liveBytes() - before).To(gomega.BeNumerically("<=", maxTableBytes))
			var message bytes.Buffer
			g.Expect(gob.NewEncoder(&message).Encode(table.Since(0))).To(gomega.Succeed())
			g.Expect(message.Len()).To(gomega.BeNumerically("<=", peer.MaxMessageBytes/2))
			runtime.KeepAlive(table)
		})
	}
}

// Guards against a crash whose part is not found because the prompt has many parts.
func TestPartOfALongPromptIsQuarantined(t *testing.T) {
	g := gomega.NewWithT(t)
	c := &clock{now: time.Hour}
	table := c.table("vm0")
	for i := range 8 {
		parts := []string{"first"}
		for j := range 150 {
			parts = append(parts, fmt.Sprint(i, "-", j))
		}
		c.crashes(table, 1, append(parts, "deadly")...)
	}
	g.Expect(blocked(table, "deadly")).To(gomega.BeTrue())
}
