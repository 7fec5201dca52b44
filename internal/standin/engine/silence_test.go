package engine_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

const shortSilence = 200 * time.Millisecond

// Guards against a stand-in whose silence ends requests, or that goes on sending: a soak
// with it would find nothing.
func TestSilentTargetSendsNothingAndGoesOn(t *testing.T) {
	for name, s := range map[string]engine.Settings{
		"plain service":      {ID: "a", Service: "app"},
		"before the head":    {ID: "e", Service: "llm", Model: "base", Events: 3},
		"between the events": {ID: "e", Service: "llm", Model: "base", Events: 3, HeadFirst: true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			store, err := metastore.Start("127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(store.Close)
			s.Pause = shortSilence / 4
			target, err := engine.Start(s, store)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			t.Cleanup(target.Crash)
			if !s.HeadFirst {
				target.FallSilent(shortSilence)
			}
			sent := time.Now()
			req, err := http.NewRequest(http.MethodPost, "http://"+target.Settings.Address+"/x", strings.NewReader("body"))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			engine.Call{ID: "q1"}.Describe(req.Header)
			resp, err := http.DefaultClient.Do(req)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if s.HeadFirst {
				sent = time.Now()
				target.FallSilent(shortSilence)
			}
			body := bufio.NewReader(resp.Body)
			_, err = body.Peek(1)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(time.Since(sent)).To(gomega.BeNumerically(">=", shortSilence))
			rest := new(strings.Builder)
			_, err = body.WriteTo(rest)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.Body.Close()).To(gomega.Succeed())
			g.Expect(target.Runs()).To(gomega.HaveLen(1))
			g.Eventually(func() bool { return target.Runs()[0].Finished }).Should(gomega.BeTrue())
			if s.Model == "" {
				g.Expect(rest.String()).To(gomega.Equal(engine.Answer("q1")))
			} else {
				g.Expect(strings.Count(rest.String(), "data:")).To(gomega.Equal(s.Events))
			}
		})
	}
}
