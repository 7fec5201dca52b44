package edgetest

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/explain"
	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

// logBuffer collects the logs of all VMs of a test.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// story returns what the logs tell of a request, as the command line prints it.
func (c *cluster) story(id string) string {
	var b strings.Builder
	c.g.Eventually(func() error {
		lines, err := explain.Read(strings.NewReader(c.logs.text()), explain.Window{})
		if err != nil {
			return err
		}
		s, err := explain.BuildReport(id, lines)
		if err != nil {
			return err
		}
		b.Reset()
		return explain.Write(&b, s)
	}).WithTimeout(limit).Should(gomega.Succeed())
	c.t.Log(b.String())
	return b.String()
}

// Guards against a failed request whose cause the logs do not tell: the target broke
// off, no target took it, the store was away and no configuration known.
func TestTheLogsTellWhyARequestFailed(t *testing.T) {
	c := start(t, 2)
	for _, target := range c.apps {
		target.SetFault(engine.Reset, -1)
	}
	broken := c.ask(c.vms[0], request{path: booking + "x"})
	c.g.Expect(broken.status).To(gomega.Equal(http.StatusBadGateway))
	c.g.Expect(c.story(broken.id)).To(gomega.And(
		gomega.ContainSubstring("sent"), gomega.ContainSubstring("reason=truncated_answer"),
		gomega.ContainSubstring("ran=unknown"), gomega.ContainSubstring("target=a")))

	for _, target := range c.engines {
		c.g.Expect(target.Leave()).To(gomega.Succeed())
	}
	c.g.Eventually(func() int { return c.ask(c.vms[0], request{path: quote + "x", adapter: "a1"}).status }).
		WithTimeout(limit).Should(gomega.Equal(http.StatusServiceUnavailable))
	refused := c.ask(c.vms[1], request{path: quote + "x", adapter: "a1"})
	c.g.Expect(refused.status).To(gomega.Equal(http.StatusServiceUnavailable))
	c.g.Expect(c.story(refused.id)).To(gomega.And(
		gomega.ContainSubstring("no target of the group takes new work"), gomega.ContainSubstring("ran=not_run"),
		gomega.MatchRegexp(`leaving: vm1 knew that all targets of assistant leave: e0 for [0-9.]+ s \((store|relay)\), e1 `)))

	for _, target := range c.apps {
		target.SetFault(engine.None, 0)
		target.SayLeaving("1")
	}
	c.g.Eventually(func() int { return c.ask(c.vms[0], request{path: lookup + "x"}).status }).
		WithTimeout(limit).Should(gomega.Equal(http.StatusServiceUnavailable))
	refused = c.ask(c.vms[0], request{path: lookup + "x"})
	c.g.Expect(refused.status).To(gomega.Equal(http.StatusServiceUnavailable))
	c.g.Expect(c.story(refused.id)).To(gomega.And(
		gomega.ContainSubstring("no target of the service takes a request now"),
		gomega.MatchRegexp(`leaving: vm0 knew that all targets of counter leave: a0 for [0-9.]+ s \((answer|owner)\), a1 .*, a2 `)))

	c.store.SetFault(metastore.Refuse)
	v := c.vm(7)
	c.g.Eventually(c.logs.text).WithTimeout(limit).Should(gomega.MatchRegexp(`"vm":"vm7"[^\n]*"event":"store_lost"`))
	early := c.ask(v, request{method: http.MethodGet, path: lookup + "x"})
	c.g.Expect(early.status).To(gomega.Equal(http.StatusServiceUnavailable))
	c.g.Expect(c.story(early.id)).To(gomega.And(
		gomega.ContainSubstring("no configuration is known yet"), gomega.ContainSubstring("store_lost")))
}
