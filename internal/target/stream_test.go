package target_test

import (
	"bytes"
	"context"
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
	"cicadaslip/internal/standin/runner"
	"cicadaslip/internal/target"
)

var quick = target.Config{
	MinSilence: 40 * time.Millisecond, FirstTokenWait: 100 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond,
	ResumeDelay: time.Millisecond, MaxResumes: 2, MaxDiscards: 4, ControlTimeout: 200 * time.Millisecond,
}

func stream(c *target.Client, to model.Target, id string, tokens int) (string, target.Result, error) {
	var text strings.Builder
	body := fmt.Sprintf(`{"model":"baltzips/quote@3","prompt":"hem","max_tokens":%d,"stream":true}`, tokens)
	call := target.Call{Request: model.RequestID(id), Target: to, Adapter: quote, Body: []byte(body)}
	result, err := c.Stream(context.Background(), call, func(chunk target.Chunk) error {
		text.WriteString(chunk.Text)
		return nil
	})
	return text.String(), result, err
}

// Guards against tokens lost or doubled under any combination of interruptions:
// what was passed on is always a prefix of the right answer, and the whole of
// it when the attempt succeeds.
func TestStreamUnderFaults(t *testing.T) {
	c := target.New(quick)
	r, to := startRunner(t, runner.Config{})
	if err := r.Load(quote, 1); err != nil {
		t.Fatal(err)
	}
	number := 0
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		times := rapid.IntRange(1, 2)
		r.SetFaults(runner.Faults{
			CutAtToken: rapid.IntRange(0, 6).Draw(t, "cut"), CutTimes: times.Draw(t, "cuts"), CutCleanly: rapid.Bool().Draw(t, "clean"),
			SilentAtToken: rapid.SampledFrom([]int{0, 0, 0, 2}).Draw(t, "silent"), SilentTimes: 1,
			DuplicateChunks: rapid.Bool().Draw(t, "duplicate"), WrongVersion: rapid.SampledFrom([]bool{false, false, true}).Draw(t, "version"),
		})
		number++
		tokens := rapid.IntRange(1, 8).Draw(t, "tokens")
		text, result, err := stream(c, to, fmt.Sprintf("q%d", number), tokens)
		answer := runner.Answer(quote.String(), "hem", tokens)
		g.Expect(answer).To(gomega.HavePrefix(text))
		if err == nil {
			g.Expect(text).To(gomega.Equal(answer))
			g.Expect(result.Finished).To(gomega.BeTrue())
			g.Expect(result.Usage.GeneratedTokens).To(gomega.Equal(tokens))
		}
	})
}

// Guards against a stream that is given up while its target is only slow, when
// nothing else can complete it, and against one that is waited for needlessly.
func TestSlowTargetIsWaitedForOnlyIfNothingElseCanAnswer(t *testing.T) {
	for _, persist := range []bool{true, false} {
		g := gomega.NewWithT(t)
		r, to := startRunner(t, runner.Config{})
		g.Expect(r.Load(quote, 1)).To(gomega.Succeed())
		var text strings.Builder
		body := []byte(`{"model":"baltzips/quote@3","prompt":"hem","max_tokens":4,"stream":true}`)
		call := target.Call{Request: "q1", Target: to, Adapter: quote, Body: body, Persist: persist}
		cfg := quick
		cfg.MinSilence, cfg.MaxResumes, cfg.SilenceFactor = time.Millisecond, 1, 1e-9
		_, err := target.New(cfg).Stream(context.Background(), call, func(chunk target.Chunk) error {
			r.SetFaults(runner.Faults{SlowFactor: 50})
			text.WriteString(chunk.Text)
			return nil
		})
		g.Expect(err == nil).To(gomega.Equal(persist))
		g.Expect(text.String() == runner.Answer(quote.String(), "hem", 4)).To(gomega.Equal(persist))
	}
}

// Guards against "not run" for a request that was sent, after its resumption
// could not be sent.
func TestLostResumptionDoesNotMeanNotRun(t *testing.T) {
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
	_, result, err := stream(target.New(quick), model.Target{Address: l.Addr().String()}, "q1", 3)
	g.Expect(result.Sent).To(gomega.BeTrue())
	g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanUnknown))
}

// Guards against a request that the target never got but that counts as run.
func TestUnreachableTargetIsNotRun(t *testing.T) {
	g := gomega.NewWithT(t)
	r, to := startRunner(t, runner.Config{})
	_, _, err := stream(target.New(quick), to, "q1", 3)
	g.Expect(errs.As(err).Code).To(gomega.Equal(errs.AdapterNotResident))
	g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
	r.Close()
	_, _, err = stream(target.New(quick), to, "q2", 3)
	g.Expect(errs.As(err).Code).To(gomega.Equal(errs.TargetUnavailable))
	g.Expect(errs.As(err).Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against a cancellation that counts as confirmed without the target.
func TestCancel(t *testing.T) {
	g := gomega.NewWithT(t)
	c := target.New(quick)
	r, to := startRunner(t, runner.Config{})
	g.Expect(r.Load(quote, 1)).To(gomega.Succeed())
	r.SetFaults(runner.Faults{Freeze: true})
	go func() { _, _, _ = stream(c, to, "q1", 3) }()
	g.Eventually(func() []model.RequestID { return r.State().Running }).Should(gomega.HaveLen(1))
	g.Expect(c.Cancel(context.Background(), to, "q1")).To(gomega.Succeed())
	g.Expect(r.State().Running).To(gomega.BeEmpty())
	g.Expect(c.Cancel(context.Background(), to, "none")).To(gomega.Succeed(), "an unknown request does not run")
	r.Close()
	g.Expect(c.Cancel(context.Background(), to, "q1")).NotTo(gomega.Succeed())
}

// Guards against bytes of a target that end the process, block it or pass as an
// answer: an answer is passed on only if each chunk names the request and model.
func FuzzTargetStream(f *testing.F) {
	chunk := `data: {"id":"q1","model":"baltzips/quote@3","offset":0,"choices":[{"text":"a","finish_reason":null}]}` + "\n\n"
	end := `data: {"id":"q1","model":"baltzips/quote@3","offset":1,"choices":[{"text":"","finish_reason":"stop"}]}` + "\n\n"
	header := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	f.Add([]byte(header + chunk + end))
	f.Add([]byte(header + strings.ReplaceAll(chunk, "q1", "q2") + end))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n"))
	f.Add([]byte("HTTP/1.1 409 Conflict\r\nContent-Length: 44\r\n\r\n" + `{"error":{"code":"adapter_not_resident","ran":"not_run"}}`))
	f.Fuzz(func(t *testing.T, answer []byte) {
		cfg := quick
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
		text, result, err := stream(target.New(cfg), model.Target{Address: "x"}, "q1", 3)
		if (err == nil) != result.Finished {
			t.Fatalf("finished %v with error %v", result.Finished, err)
		}
		if text != "" && (!bytes.Contains(answer, []byte("q1")) && !bytes.Contains(answer, []byte(`\u`))) {
			t.Fatalf("passed on %q", text)
		}
	})
}
