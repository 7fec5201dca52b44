package edgetest

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// keptConn is a connection of a caller that sends its requests in parts.
type keptConn struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a connection to a VM.
func (c *cluster) dial(v *vm) *keptConn {
	conn, err := net.Dial("tcp", v.daemon.CallerAddress())
	c.g.Expect(err).NotTo(gomega.HaveOccurred())
	c.t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	return &keptConn{Conn: conn, reader: bufio.NewReader(conn)}
}

// head returns the head of a request with a body of four bytes. adapter is empty for plain routes.
func head(id, path, adapter string) string {
	text := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 10000\r\nContent-Length: 4\r\n", path, host, id)
	if adapter != "" {
		text += fmt.Sprintf("X-Model: %s/%s\r\nX-Token-Usage: 900,40\r\nX-Prompt-Prefix: aa:500,%s:400\r\n", model, adapter, id)
	}
	return text + "\r\n"
}

// send sends a part of a request.
func (k *keptConn) send(g *gomega.WithT, text string) {
	_, err := io.WriteString(k, text)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// answer reads a whole answer, and returns its status and body.
func (k *keptConn) answer() (int, string, error) {
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

// Guards against a whole request that gets neither an answer nor a refusal beside a change of the
// configuration: while it is read, on a kept connection, while it waits for a target, and while a
// target works on it.
func TestConfigurationChangesCutNoRequest(t *testing.T) {
	const once, repeatable, resumable, unrepeatable = "/once/", "/repeatable/", "/resumable/", "/unrepeatable/"
	routes := func(plain, streaming string, timeout int) []map[string]any {
		return []map[string]any{
			route("once", once, "non_idempotent", plain, 1, false, timeout), route("repeatable", repeatable, "idempotent", plain, 2, false, timeout),
			route("resumable", resumable, "streaming", streaming, 2, true, timeout), route("unrepeatable", unrepeatable, "streaming", streaming, 1, false, timeout),
		}
	}
	const timeout = 9000
	for name, change := range map[string]func(c *cluster) (routes []map[string]any){
		"routes dropped":     func(*cluster) []map[string]any { return nil },
		"shorter timeouts":   func(*cluster) []map[string]any { return routes(app, llm, 300) },
		"shorter idle limit": func(c *cluster) []map[string]any { c.idleMs = 200; return routes(app, llm, timeout) },
		"routes to another service": func(c *cluster) []map[string]any {
			c.engine2 = true
			return routes(app, llm2, timeout)
		},
		"services withdrawn": func(c *cluster) []map[string]any {
			c.dropped = map[string]bool{"quote": true, "notes": true, "booking": true, "lookup": true}
			c.bare = true
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := start(t, 1, func(c *cluster) {
				for i := range c.engines {
					c.engines[i].Settings.Pause, c.engines[i].Settings.Load = 200*time.Millisecond, time.Second
					c.apps[i].Settings.Pause = 700 * time.Millisecond
				}
				c.configure(routes(app, llm, timeout)...)
			})
			v := c.vms[0]
			c.g.Expect(c.ask(v, request{path: resumable + "x", adapter: "a1"}).status).To(gomega.Equal(http.StatusOK))

			const body = "body"
			kept, inHeader, inBody := c.dial(v), c.dial(v), c.dial(v)
			kept.send(c.g, head("kept-1", once, "")+body)
			status, _, err := kept.answer()
			c.g.Expect(err).NotTo(gomega.HaveOccurred())
			c.g.Expect(status).To(gomega.Equal(http.StatusOK))
			inHeader.send(c.g, head("in-header", once, "")[:20])
			inBody.send(c.g, head("in-body", once, "")+body[:2])

			atWork := map[string]*keptConn{}
			for id, text := range map[string]string{
				"stream": head("stream", resumable, "a1"), "unrepeatable-stream": head("unrepeatable-stream", unrepeatable, "a1"),
				"plain": head("plain", once, ""), "repeatable": head("repeatable", repeatable, ""),
			} {
				atWork[id] = c.dial(v)
				atWork[id].send(c.g, text+body)
				c.g.Eventually(func() int { return len(c.runs(id)) }).WithTimeout(limit).Should(gomega.Equal(1))
			}
			waiting := c.dial(v)
			waiting.send(c.g, head("waiting", resumable, "a2")+body)

			c.configure(change(c)...)
			c.g.Eventually(c.logs.text).WithTimeout(limit).Should(gomega.MatchRegexp(fmt.Sprintf(`"event":"config_in_force","config":%d,`, c.version)))
			inHeader.send(c.g, head("in-header", once, "")[20:]+body)
			inBody.send(c.g, body[2:])
			kept.send(c.g, head("kept-2", once, "")+body)
			for id, conn := range atWork {
				status, _, err := conn.answer()
				c.g.Expect(err).NotTo(gomega.HaveOccurred(), id)
				c.g.Expect(status).To(gomega.Equal(http.StatusOK), id)
			}
			for id, conn := range map[string]*keptConn{"kept": kept, "in-header": inHeader, "in-body": inBody, "waiting": waiting} {
				_, _, err := conn.answer()
				c.g.Expect(err).NotTo(gomega.HaveOccurred(), id)
			}
		})
	}
}
