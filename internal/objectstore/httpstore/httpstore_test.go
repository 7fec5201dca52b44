package httpstore_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpstore"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/standin/platform"
)

var ctx = context.Background()

// haveCode matches an error with the given code.
func haveCode(code errs.Code) gomega.OmegaMatcher {
	return gomega.WithTransform(func(err error) errs.Code { return errs.As(err).Code }, gomega.Equal(code))
}

// startPlatform starts a platform stand-in and closes it when the test ends.
func startPlatform(t *testing.T) (*platform.Server, string) {
	server, address := servePlatform(t)
	t.Cleanup(func() { _ = server.Close() })
	return server, address
}

// servePlatform starts a platform stand-in, which the caller must close, and
// returns it with its address.
func servePlatform(t interface{ Fatal(...any) }) (*platform.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := platform.New()
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String()
}

// callTimeout is long enough for a call on a busy machine, and short enough for the
// tests that wait until a call times out.
const callTimeout = 2 * time.Second

func newClient(t *testing.T, address string) *httpstore.Client {
	client := httpstore.New(httpstore.Options{Address: address, CallTimeout: callTimeout})
	t.Cleanup(client.Close)
	return client
}

// Guards against a call that has another result through the HTTP client than on a
// memstore directly, for any key, value and condition.
func TestClientMatchesMemstore(t *testing.T) {
	var closingServers sync.WaitGroup
	defer closingServers.Wait()
	rapid.Check(t, func(t *rapid.T) {
		server, address := servePlatform(t)
		defer closingServers.Go(func() { _ = server.Close() })
		client := httpstore.New(httpstore.Options{Address: address})
		defer client.Close()
		reference := memstore.New()
		key := rapid.SampledFrom([]string{"a/b", "a/b?c=1&d", "ä %2F/..", ".", "//"})
		for range rapid.IntRange(1, 12).Draw(t, "calls") {
			k, v := key.Draw(t, "key"), rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "value")
			n := rapid.Int64Range(0, 3).Draw(t, "number")
			op := rapid.IntRange(0, 6).Draw(t, "op")
			got, gotErr := callStore(client, op, k, v, n)
			want, wantErr := callStore(reference, op, k, v, n)
			if (gotErr == nil) != (wantErr == nil) || gotErr != nil && errs.As(gotErr).Code != errs.As(wantErr).Code {
				t.Fatalf("op %d: error %v, want %v", op, gotErr, wantErr)
			}
			if got != want {
				t.Fatalf("op %d: %+v, want %+v", op, got, want)
			}
		}
	})
}

// callStore makes the call that op selects and returns what the test compares.
func callStore(s objectstore.Store, op int, key string, value []byte, n int64) (any, error) {
	switch op {
	case 0:
		return keyAndValue(s.Get(ctx, key, n))
	case 1:
		return keyAndValue(s.Create(ctx, key, value))
	case 2:
		return keyAndValue(s.Update(ctx, key, value, n))
	case 3:
		return keyAndValue(s.Put(ctx, key, value))
	case 4:
		return "", s.Delete(ctx, key, n)
	case 5:
		page, err := s.List(ctx, "a", "", int(n), n)
		return len(page.Objects), err
	}
	changes, err := s.Watch(ctx, "", n, 0)
	return len(changes.Changes), err
}

func keyAndValue(object objectstore.Object, err error) (any, error) {
	return object.Key + string(object.Value), err
}

// Guards against reporting a write whose response was lost as one without effect.
func TestLostResponseOfWriteIsAmbiguous(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := startPlatform(t)
	client := newClient(t, address)
	server.Store.Inject(memstore.Rule{Fault: memstore.LoseResponse, Count: 1})
	_, err := client.Put(ctx, "a", []byte("1"))
	g.Expect(err).To(haveCode(errs.StoreAmbiguous))
	object, err := client.Get(ctx, "a", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(object.Version).To(gomega.BeEquivalentTo(1))
}

// Guards against reporting a write as ambiguous when no connection was opened.
func TestRefusedConnectionHasNoEffect(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := startPlatform(t)
	g.Expect(newClient(t, address).Delete(ctx, "a", 1)).To(haveCode(errs.NotFound))
	g.Expect(server.Close()).To(gomega.Succeed())
	_, err := newClient(t, address).Put(ctx, "a", nil)
	g.Expect(err).To(haveCode(errs.StoreUnavailable))
}

// Guards against using a connection again after it has stopped responding.
func TestUnresponsiveConnectionsAreReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	_, address := startPlatform(t)
	relay := startRelay(t, address)
	client := newClient(t, relay.listener.Addr().String())
	_, err := client.Put(ctx, "a", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	relay.muteConnections()
	_, err = client.Get(ctx, "a", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "a read is repeated on a new connection")

	relay.muteConnections()
	_, err = client.Put(ctx, "a", nil)
	g.Expect(err).To(haveCode(errs.StoreAmbiguous))
	object, err := client.Put(ctx, "a", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(object.Version).To(gomega.BeEquivalentTo(2), "the write on the unresponsive connection was sent once and lost")
	g.Expect(relay.accepted.Load()).To(gomega.BeEquivalentTo(3))
}

// Guards against one timed-out call for each pooled connection when all of them
// have stopped responding at the same time.
func TestOneTimeoutReplacesAllUnresponsiveConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := startPlatform(t)
	relay := startRelay(t, address)
	client := newClient(t, relay.listener.Addr().String())
	const connections = 4
	server.Store.Inject(memstore.Rule{Fault: memstore.Slow, Delay: callTimeout / 10, Count: 2 * connections})
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { _, _ = client.Watch(ctx, "a", 0, 0) })
		calls.Go(func() { _, _ = client.List(ctx, "a", "", 0, 0) })
	}
	calls.Wait()
	before := relay.accepted.Load()
	relay.muteConnections()
	_, err := client.List(ctx, "a", "", 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = client.Watch(ctx, "a", 0, 0)
	g.Expect(err).To(haveCode(errs.StoreUnavailable), "a watch is not repeated")
	_, err = client.Watch(ctx, "a", 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(relay.accepted.Load()).To(gomega.Equal(before + 2))
}

// Guards against calls that outlive their context.
func TestDeadlineAndCancellationEndCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := startPlatform(t)
	client := newClient(t, address)
	server.Store.Inject(memstore.Rule{Fault: memstore.Slow, Op: memstore.OpWrite, Delay: time.Minute})
	shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := client.Put(shortCtx, "a", nil)
	g.Expect(err).To(haveCode(errs.StoreAmbiguous))

	watchCtx, cancelWatch := context.WithCancel(ctx)
	watchErr := make(chan error, 1)
	go func() {
		_, err := client.Watch(watchCtx, "a", 0, time.Minute)
		watchErr <- err
	}()
	g.Eventually(func() int { return server.Store.Counts().Waiting }).Should(gomega.Equal(1))
	cancelWatch()
	g.Eventually(watchErr).Should(gomega.Receive(haveCode(errs.StoreUnavailable)))
}

func TestWatchOutageAndRateLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := startPlatform(t)
	client := newClient(t, address)
	results := make(chan objectstore.Changes, 1)
	go func() {
		changes, _ := client.Watch(ctx, "a", 0, time.Minute)
		results <- changes
	}()
	g.Eventually(func() int { return server.Store.Counts().Waiting }).Should(gomega.Equal(1))
	_, err := client.Put(ctx, "a", []byte("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var changes objectstore.Changes
	g.Eventually(results).Should(gomega.Receive(&changes))
	g.Expect(changes.Changes).To(gomega.HaveLen(1))

	server.Store.SetOutage(true)
	_, err = client.Put(ctx, "a", nil)
	g.Expect(err).To(haveCode(errs.StoreUnavailable))
	server.Store.ClearFaults()
	server.Store.SetRates(memstore.Rates{Writes: 0.001})
	_, err = client.Put(ctx, "a", nil)
	g.Expect(err).To(haveCode(errs.StoreUnavailable))
	g.Expect(errs.As(err).Retry).To(gomega.BeNumerically(">", 0))
}

// Guards against the client or the server rejecting the largest value or a full page.
func TestLargestValue(t *testing.T) {
	g := gomega.NewWithT(t)
	_, address := startPlatform(t)
	client := newClient(t, address)
	value := make([]byte, objectstore.MaxValueBytes)
	for _, key := range []string{"a", "b"} {
		_, err := client.Put(ctx, key, value)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	page, err := client.List(ctx, "", "", 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page.More).To(gomega.BeTrue())
	_, err = client.Put(ctx, "a", append(value, 0))
	g.Expect(err).To(haveCode(errs.TooLarge))
}

func TestListerReturnsPlatformList(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := startPlatform(t)
	server.List.Set(model.Listing{Targets: []model.Target{{Name: "runner-1", Slots: 4}}})
	listing, err := newClient(t, address).Lister().List(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listing.Targets).To(gomega.ConsistOf(model.Target{Name: "runner-1", Slots: 4}))
}

// Guards against a second copy of an answer that is taken for the answer to the next call on
// the same connection: a write that took effect would count as refused.
func TestSecondCopyOfAnAnswerIsNotTheNextOne(t *testing.T) {
	g := gomega.NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = l.Close() }()
	body, err := json.Marshal(errs.New(errs.Conflict, "the object already exists"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	conflict := fmt.Sprintf("HTTP/1.1 409 Conflict\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	received := make(chan struct{}, 4)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				for buf := make([]byte, 4096); ; {
					if _, err := conn.Read(buf); err != nil {
						return
					}
					received <- struct{}{}
					_, _ = io.WriteString(conn, conflict)
					time.Sleep(20 * time.Millisecond) // the connection is idle again
					_, _ = io.WriteString(conn, conflict)
				}
			}()
		}
	}()
	client := newClient(t, l.Addr().String())
	_, err = client.Create(ctx, "a", []byte("1"))
	g.Expect(err).To(haveCode(errs.Conflict))
	time.Sleep(100 * time.Millisecond)
	_, err = client.Create(ctx, "b", []byte("1"))
	g.Expect(err).To(haveCode(errs.StoreUnavailable))
	g.Expect(received).To(gomega.HaveLen(1), "the second call was sent")
	_, err = client.Get(ctx, "b", 0) // on a new connection
	g.Expect(err).To(haveCode(errs.Conflict))
	time.Sleep(100 * time.Millisecond)
	_, err = client.Get(ctx, "b", 0) // the kept connection holds a copy, so another one is opened
	g.Expect(err).To(haveCode(errs.Conflict))
	g.Expect(received).To(gomega.HaveLen(3))
}
