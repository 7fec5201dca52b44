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

// Guards against an outage of the store at whose end groups move to whichever VM reaches the store
// first, although their owners have served them all the time.
func TestOutageOfTheStoreMovesNoGroup(t *testing.T) {
	c := start(t, 5)
	count := func(text string) func() int { return func() int { return strings.Count(c.logs.text(), text) } }
	lost, regained := count(`"event":"store_lost"`), count(`"event":"store_regained"`)
	takeovers := func() int { return len(takenOver.FindAllString(c.logs.text(), -1)) }
	c.g.Eventually(c.owner).WithTimeout(limit).ShouldNot(gomega.BeNil())
	time.Sleep(1500 * time.Millisecond) // the others follow the owner
	before := takeovers()
	c.store.SetFault(metastore.Refuse)
	c.g.Eventually(lost).WithTimeout(limit).Should(gomega.Equal(len(c.vms)))
	time.Sleep(2 * time.Second)
	c.store.SetFault(metastore.None)
	c.g.Eventually(regained).WithTimeout(limit).Should(gomega.Equal(len(c.vms)))
	c.g.Consistently(takeovers).WithTimeout(3 * time.Second).Should(gomega.Equal(before))
}
