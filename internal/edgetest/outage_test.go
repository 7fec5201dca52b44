package edgetest

import (
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/metastore"
)

// takenOver matches the log line of a takeover that the store has acknowledged.
var takenOver = regexp.MustCompile(`"action":"take_over","(time|stamp)"`)

// loggingVM matches the VM of a log line.
var loggingVM = regexp.MustCompile(`"vm":"(\w+)"`)

// Guards against an outage of the store at whose end groups move to whichever VM reaches the store
// first, although their owners have served them all the time.
func TestOutageOfTheStoreMovesNoGroup(t *testing.T) {
	c := start(t, 5)
	// logged returns the VMs that have logged an event. Calls that fail for another reason may make
	// one log it twice.
	logged := func(event string) func() map[string]bool {
		return func() map[string]bool {
			vms := map[string]bool{}
			for line := range strings.Lines(c.logs.text()) {
				if vm := loggingVM.FindStringSubmatch(line); vm != nil && strings.Contains(line, `"event":"`+event+`"`) {
					vms[vm[1]] = true
				}
			}
			return vms
		}
	}
	takeovers := func() int { return len(takenOver.FindAllString(c.logs.text(), -1)) }
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	time.Sleep(1500 * time.Millisecond) // the others follow the owner
	before := takeovers()
	c.store.SetFault(metastore.Refuse)
	c.g.Eventually(logged("store_lost")).WithTimeout(limit).Should(gomega.HaveLen(len(c.vms)))
	time.Sleep(2 * time.Second)
	c.store.SetFault(metastore.None)
	c.g.Eventually(logged("store_regained")).WithTimeout(limit).Should(gomega.HaveLen(len(c.vms)))
	c.g.Consistently(takeovers).WithTimeout(3 * time.Second).Should(gomega.Equal(before))
}
