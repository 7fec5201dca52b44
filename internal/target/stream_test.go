package target_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/socketstate"
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/target"
)

var shortTimeouts = target.Config{
	MinIdleTimeout: 40 * time.Millisecond, FirstTokenTimeout: 100 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond,
	ResumeDelay: time.Millisecond, MaxResumes: 2, MaxDiscardedChunks: 4, ControlTimeout: 200 * time.Millisecond,
}

// streamText streams an answer of the given number of tokens and returns the
// text that was passed on.
func streamText(c *target.Client, to model.Target, id string, tokens int) (string, target.Result, error) {
	var text strings.Builder
	body := fmt.Sprintf(`{"model":"baltzips/quote@3","prompt":"hem","max_tokens":%d,"stream":true}`, tokens)
	call := target.Call{Request: model.RequestID(id), Target: to, Adapter: quoteAdapter, Body: []byte(body)}
	result, err := c.Stream(context.Background(), call, func(chunk target.Chunk) error {
		text.WriteString(chunk.Text)
		return nil
	})
	return text.String(), result, err
}

// Guards against lost or duplicated tokens under any combination of
// interruptions: the text passed on is always a prefix of the correct answer,
// and the complete answer if the attempt succeeds.
func TestStreamUnderFaults(t *testing.T) {
	c := target.New(shortTimeouts)
	r, to := startRunner(t, runner.Config{})
	if err := r.Load(quoteAdapter, 1); err != nil {
		t.Fatal(err)
	}
	requestNumber := 0
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		times := rapid.IntRange(1, 2)
		r.SetFaults(runner.Faults{
			CutAtToken: rapid.IntRange(0, 6).Draw(t, "cut"), CutTimes: times.Draw(t, "cuts"), CutCleanly: rapid.Bool().Draw(t, "clean"),
			SilentAtToken: rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "silent"), SilentTimes: 1,
			DuplicateChunks: rapid.Bool().Draw(t, "duplicate"), WrongVersion: rapid.SampledFrom([]bool{false, false, true}).Draw(t, "version"),
		})
		requestNumber++
		tokens := rapid.IntRange(1, 8).Draw(t, "tokens")
		text, result, err := streamText(c, to, fmt.Sprintf("q%d", requestNumber), tokens)
		answer := runner.Answer(quoteAdapter.String(), "hem", tokens)
		g.Expect(answer).To(gomega.HavePrefix(text))
		if err == nil {
			g.Expect(text).To(gomega.Equal(answer))
			g.Expect(result.Finished).To(gomega.BeTrue())
			g.Expect(result.Usage.GeneratedTokens).To(gomega.Equal(tokens))
		}
	})
}

// Guards against giving up the stream of a target that is merely slow when no
// other target can complete the answer, which the caller states by KeepResuming,
// and against waiting for such a stream needlessly.
func TestSlowStreamIsResumedWithoutLimitOnlyIfRequested(t *testing.T) {
	for _, keepResuming := range []bool{true, false} {
		g := gomega.NewWithT(t)
		r, to := startRunner(t, runner.Config{})
		g.Expect(r.Load(quoteAdapter, 1)).To(gomega.Succeed())
		var text strings.Builder
		body := []byte(`{"model":"baltzips/quote@3","prompt":"hem","max_tokens":4,"stream":true}`)
		call := target.Call{Request: "q1", Target: to, Adapter: quoteAdapter, Body: body, KeepResuming: keepResuming}
		cfg := shortTimeouts
		cfg.MinIdleTimeout, cfg.MaxResumes, cfg.IdleTimeoutFactor = time.Millisecond, 1, 1e-9
		_, err := target.New(cfg).Stream(context.Background(), call, func(chunk target.Chunk) error {
			r.SetFaults(runner.Faults{SlowFactor: 50})
			text.WriteString(chunk.Text)
			return nil
		})
		g.Expect(err == nil).To(gomega.Equal(keepResuming))
		g.Expect(text.String() == runner.Answer(quoteAdapter.String(), "hem", 4)).To(gomega.Equal(keepResuming))
	}
}

// Guards against a begun stream that ends because its target is silent as a whole for some
// time, and answers no resumption either, although no other target can complete the answer.
func TestSilentTargetIsAskedAgainUntilItAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	const silentResumptions = 5 // more than shortTimeouts.MaxResumes
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	go func() {
		for requests := 0; ; requests++ {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 4096))
			switch {
			case requests == 0:
				_, _ = io.WriteString(conn, eventsHead+token(0))
			case requests > silentResumptions:
				_, _ = io.WriteString(conn, eventsHead+token(1)+finalChunk(2))
			}
			_, _ = conn.Read(make([]byte, 1)) // until the client closes
			_ = conn.Close()
		}
	}()
	var text strings.Builder
	call := target.Call{Request: "q1", Target: model.Target{Address: l.Addr().String()}, Adapter: quoteAdapter, Body: []byte("{}"), KeepResuming: true}
	cfg := shortTimeouts
	cfg.HeaderTimeout = 20 * time.Millisecond
	_, err = target.New(cfg).Stream(context.Background(), call, func(chunk target.Chunk) error {
		text.WriteString(chunk.Text)
		return nil
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(text.String()).To(gomega.Equal("t0 t1 "))
}

// Guards against reporting a request that was sent as not run because its
// resumption could not be sent.
func TestFailedResumptionIsNotReportedAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() {
		conn, err := l.Accept()
		if err == nil {
			_ = l.Close()
			_, _ = io.ReadFull(conn, make([]byte, 1))
			_ = conn.Close()
		}
	}()
	_, result, err := streamText(target.New(shortTimeouts), model.Target{Address: l.Addr().String()}, "q1", 3)
	g.Expect(result.Sent).To(gomega.BeTrue())
	g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanUnknown))
}

// Guards against reporting a request as run although the target refused it or
// never received it.
func TestRefusedOrUnreachableRequestIsReportedAsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	r, to := startRunner(t, runner.Config{})
	_, _, err := streamText(target.New(shortTimeouts), to, "q1", 3)
	g.Expect(errs.As(err).Code).To(gomega.Equal(errs.AdapterNotResident))
	g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
	r.Close()
	_, _, err = streamText(target.New(shortTimeouts), to, "q2", 3)
	g.Expect(errs.As(err).Code).To(gomega.Equal(errs.TargetUnavailable))
	g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against reporting a cancellation as confirmed although the target did
// not confirm it.
func TestCancel(t *testing.T) {
	g := gomega.NewWithT(t)
	c := target.New(shortTimeouts)
	r, to := startRunner(t, runner.Config{})
	g.Expect(r.Load(quoteAdapter, 1)).To(gomega.Succeed())
	r.SetFaults(runner.Faults{Freeze: true})
	go func() { _, _, _ = streamText(c, to, "q1", 3) }()
	g.Eventually(func() []model.RequestID { return r.State().Running }).Should(gomega.HaveLen(1))
	g.Expect(c.Cancel(context.Background(), to, "q1")).To(gomega.Succeed())
	g.Expect(r.State().Running).To(gomega.BeEmpty())
	g.Expect(c.Cancel(context.Background(), to, "none")).To(gomega.Succeed(), "a request that the target does not know is not running")
	r.Close()
	g.Expect(c.Cancel(context.Background(), to, "q1")).NotTo(gomega.Succeed())
}

// Guards against an answer that may have no body and ends the request with a panic.
func TestAnswerWithoutABodyIsARefusal(t *testing.T) {
	s := newScriptedTarget(t)
	for _, status := range []string{"204 No Content", "304 Not Modified", "101 Switching Protocols"} {
		g := gomega.NewWithT(t)
		s.set("HTTP/1.1 " + status + "\r\n\r\n")
		_, result, err := streamText(target.New(patient), model.Target{Address: s.address}, "q1", 2)
		g.Expect(errs.As(err).Code).To(gomega.Equal(errs.TargetRefused), status)
		g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanUnknown))
		g.Expect(result.Finished).To(gomega.BeFalse())
	}
}

// Guards against bytes from a target that crash or block the process or that are
// taken for an answer: a chunk is passed on only if it names the request and model.
func FuzzTargetStream(f *testing.F) {
	chunk := `data: {"id":"q1","model":"baltzips/quote@3","offset":0,"choices":[{"text":"a","finish_reason":null}]}` + "\n\n"
	end := `data: {"id":"q1","model":"baltzips/quote@3","offset":1,"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	header := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	f.Add([]byte(header + chunk + end))
	f.Add([]byte(header + strings.ReplaceAll(chunk, "q1", "q2") + end))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n"))
	f.Add([]byte("HTTP/1.1 409 Conflict\r\nContent-Length: 44\r\n\r\n" + `{"error":{"code":"adapter_not_resident","ran":"not_run"}}`))
	f.Add([]byte("HTTP/1.1 204 No Content\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 101 Switching Protocols\r\n\r\n" + chunk + end))
	f.Fuzz(func(t *testing.T, answer []byte) {
		cfg := shortTimeouts
		cfg.MaxResumes, cfg.ResumeDelay, cfg.MaxAnswerBytes = 1, time.Microsecond, 1<<10
		cfg.Dial = func(context.Context, string, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				go func() { _, _ = io.Copy(io.Discard, far) }()
				_, _ = far.Write(answer)
				_ = far.Close()
			}()
			return near, nil
		}
		text, result, err := streamText(target.New(cfg), model.Target{Address: "x"}, "q1", 3)
		if (err == nil) != result.Finished {
			t.Fatalf("result.Finished is %v with error %v", result.Finished, err)
		}
		if text != "" && (!bytes.Contains(answer, []byte("q1")) && !bytes.Contains(answer, []byte(`\u`))) {
			t.Fatalf("passed on %q from an answer that does not name the request", text)
		}
	})
}

// Guards against a refusal of another request that is taken for the answer to this one, which
// may run, and against an answer that was there before the request.
func TestOnlyARefusalOfThisRequestIsNotRun(t *testing.T) {
	body, err := json.Marshal(map[string]any{"error": errs.NotRun(errs.Overloaded, "full")})
	if err != nil {
		t.Fatal(err)
	}
	refusal := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
	for name, c := range map[string]struct {
		answer string
		first  bool // the answer is there before the request
		notRun bool
		sent   bool
	}{
		"own":                {"X-Request-Id: q1\r\n" + refusal, false, true, true},
		"without an ID":      {refusal, false, true, true},
		"of another request": {"X-Request-Id: q0\r\n" + refusal, false, false, true},
		"with two IDs":       {"X-Request-Id: q1\r\nX-Request-Id: q0\r\n" + refusal, false, false, true},
		"ID in another case": {"X-Request-Id: Q1\r\n" + refusal, false, false, true},
		"before the request": {refusal, true, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = l.Close() }()
			received := make(chan bool, 16)
			go func() {
				for {
					conn, err := l.Accept()
					if err != nil {
						return
					}
					answer := "HTTP/1.1 503 Full\r\n" + c.answer
					if c.first {
						_, _ = io.WriteString(conn, answer)
					}
					n, _ := conn.Read(make([]byte, 4096))
					received <- n > 0
					if !c.first {
						_, _ = io.WriteString(conn, answer)
					}
					_ = conn.Close()
				}
			}()
			config := shortTimeouts
			if c.first {
				config.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
					conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
					for err == nil && socketstate.Of(conn) == socketstate.Idle {
						time.Sleep(time.Millisecond)
					}
					return conn, err
				}
			}
			_, _, err = streamText(target.New(config), model.Target{Address: l.Addr().String()}, "q1", 2)
			g.Expect(err).To(gomega.HaveOccurred())
			g.Expect(errs.As(err).Ran == errs.RanNo).To(gomega.Equal(c.notRun), "%v", err)
			g.Expect(<-received).To(gomega.Equal(c.sent))
		})
	}
}
