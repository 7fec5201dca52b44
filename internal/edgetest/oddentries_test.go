package edgetest

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/standin/engine"
)

// foreignEntry is an entry of another writer in all answers of the store to lists and watches
// of a kind.
type foreignEntry struct{ entry atomic.Pointer[string] }

// serve starts a store that answers like the cluster's, with the entry.
func (f *foreignEntry) serve(c *cluster, kind string) {
	behind := &url.URL{Scheme: "http", Host: c.store.Address()}
	proxy := &httputil.ReverseProxy{
		ErrorLog: log.New(io.Discard, "", 0), // watches that are given up
		Rewrite:  func(r *httputil.ProxyRequest) { r.SetURL(behind) },
		ModifyResponse: func(resp *http.Response) error {
			entry := f.entry.Load()
			if entry == nil || resp.StatusCode != http.StatusOK || resp.Request.URL.Path != "/cicadaslip/objects/"+kind {
				return nil
			}
			body, err := io.ReadAll(resp.Body)
			if err != nil {
				return err
			}
			for _, r := range [][2]string{
				{`"items":[]`, `"items":[` + *entry + `]`},
				{`"items":[{`, `"items":[` + *entry + `,{`},
				{`"events":null`, `"events":[{"object":` + *entry + `,"tombstone":false}]`},
				{`"events":[`, `"events":[{"object":` + *entry + `,"tombstone":false},`},
			} {
				if bytes.Contains(body, []byte(r[0])) {
					body = bytes.Replace(body, []byte(r[0]), []byte(r[1]), 1)
					break
				}
			}
			resp.Body, resp.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
			resp.Header.Set("Content-Length", strconv.Itoa(len(body)))
			return nil
		},
	}
	server := httptest.NewServer(proxy)
	c.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	c.storeAt = server.Listener.Addr().String()
}

// Guards against an entry of another writer among the targets' that makes VMs stop following
// them: a target that starts later gets no requests, and one that leaves gets more.
func TestTargetsAreFollowedBesideOddEntries(t *testing.T) {
	for name, entry := range map[string]string{
		"deep":               `{"metadata":{"name":"odd","revision":1},"spec":` + strings.Repeat("[", 12_000) + strings.Repeat("]", 12_000) + `}`,
		"revision too large": `{"metadata":{"name":"odd","revision":18446744073709551616},"spec":{}}`,
		"name a number":      `{"metadata":{"name":7,"revision":1e400},"spec":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			var foreign foreignEntry
			c := start(t, 3, func(c *cluster) { foreign.serve(c, "servers") })
			foreign.entry.Store(&entry)
			time.Sleep(time.Second) // watches that wait are answered, and the entry is read
			late := c.target(engine.Settings{ID: "a9", Service: app, Zone: dataCentres[0], Slots: 6, Pause: 5 * time.Millisecond})
			for _, gone := range c.apps {
				gone.Crash()
				c.store.Remove("servers", gone.Settings.ID)
			}
			c.apps = append(c.apps, late)
			for _, v := range c.vms {
				c.g.Eventually(func() string {
					a := c.ask(v, request{path: lookup + "x", body: "q", deadline: time.Second})
					return strconv.Itoa(a.status) + " " + a.header.Get("X-Server-Stamp")
				}).WithTimeout(limit).Should(gomega.HavePrefix("200 a9."))
			}
			c.g.Expect(strings.Count(c.logs.text(), `"event":"panic"`)).To(gomega.BeZero())
		})
	}
}

// Guards against a target that stays in use after its entry has become unusable.
func TestTargetWhoseEntryBecomesOddIsNotUsed(t *testing.T) {
	for name, spec := range map[string]string{
		"port out of range": `{"service":"counter","address":"127.0.0.1:70000","zone":"riga-a","state":"ready","slots":6}`,
		"slots too large":   `{"service":"counter","address":"127.0.0.1:7000","zone":"riga-a","state":"ready","slots":1e400}`,
		"no text":           `7`,
	} {
		t.Run(name, func(t *testing.T) {
			c := start(t, 3)
			c.apps[0].Crash() // so that it does not write its entry again
			c.g.Expect(c.store.Put("servers", "a0", json.RawMessage(spec))).To(gomega.Succeed())
			c.g.Eventually(func() int {
				return strings.Count(c.logs.text(), `"event":"target_gone","target":"a0"`)
			}).WithTimeout(drainBound).Should(gomega.Equal(len(c.vms)))
			c.g.Expect(strings.Count(c.logs.text(), `"event":"target_ignored"`)).To(gomega.BeNumerically("<=", len(c.vms)), "one line of each VM")
		})
	}
}
