package processtest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/model"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/standin/service"
	"cicadaslip/internal/testcluster"
)

// attempt is one call of a booking as its caller saw it.
type attempt struct {
	status int
	code   string
	ran    string
	body   string
}

// checker collects what callers saw.
type checker struct {
	mu       sync.Mutex
	bookings map[string][]attempt
	answered int
	refused  int
	faults   []string
	refusals []string
}

func newChecker() *checker { return &checker{bookings: map[string][]attempt{}} }

func (c *checker) completion(adapter, prompt string, tokens int, answer testcluster.Answer, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	text, complete := answer.Text()
	if err != nil || !complete {
		c.refused++
		c.refusals = append(c.refusals, fmt.Sprintf("%s: status %d %s %v", adapter, answer.Status, answer.Body, err))
		return
	}
	c.answered++
	if want := runner.Answer(adapter, prompt, tokens); text != want {
		c.faults = append(c.faults, "wrong answer of "+adapter+": "+text+" instead of "+want)
	}
}

// count returns the number of completions answered so far.
func (c *checker) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.answered
}

func (c *checker) booking(key string, answer testcluster.Answer, err error) {
	code, ran := answer.Error()
	if err != nil {
		code, ran = "no answer", "unknown"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bookings[key] = append(c.bookings[key], attempt{answer.Status, code, ran, string(answer.Body)})
}

// get decodes a stand-in's JSON answer.
func get(g gomega.Gomega, address, path string, into any) {
	response, err := http.Get("http://" + address + path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(json.NewDecoder(response.Body).Decode(into)).To(gomega.Succeed())
}

// verify compares what callers saw with what the targets ran.
func (c *checker) verify(t *testing.T, g gomega.Gomega, cluster *testcluster.Cluster) {
	runs := map[string]int{}
	for _, target := range cluster.Listing().Targets {
		if target.Class == model.ClassService {
			var calls []service.Call
			get(g, target.Address, "/calls", &calls)
			for _, call := range calls {
				if call.Kind == booking {
					runs[call.Key]++
				}
			}
			continue
		}
		var violations []runner.LogEntry
		get(g, target.Address, "/control/violations", &violations)
		g.Expect(violations).To(gomega.BeEmpty(), "evictions under a running request on "+target.Name)
	}
	g.Expect(c.faults).To(gomega.BeEmpty())
	for key, attempts := range c.bookings {
		c.verifyBooking(g, key, attempts, runs[key])
	}
	for _, refusal := range c.refusals {
		t.Log("refused or broken:", refusal)
	}
	t.Logf("%d completions answered, %d refused or broken, %d bookings, %d runs", c.answered, c.refused, len(c.bookings), len(runs))
}

func (c *checker) verifyBooking(g gomega.Gomega, key string, attempts []attempt, runs int) {
	g.Expect(runs).To(gomega.BeNumerically("<=", 1), "booking %s ran twice: %v", key, attempts)
	success, mayHaveRun := "", false
	for _, a := range attempts {
		if a.status == http.StatusOK {
			g.Expect(runs).To(gomega.Equal(1), "booking %s was answered without a run", key)
			if success != "" {
				g.Expect(a.body).To(gomega.Equal(success), "booking %s has two different answers", key)
			}
			success = a.body
		}
		mayHaveRun = mayHaveRun || a.ran != "not_run"
	}
	if !mayHaveRun {
		g.Expect(runs).To(gomega.Equal(0), "booking %s ran although all its attempts were refused as not run", key)
	}
}
