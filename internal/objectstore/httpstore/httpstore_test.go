package httpstore_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	api "cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpstore"
	"cicadaslip/internal/objectstore/memstore"
	"cicadaslip/internal/standin/platform"
)

var ctx = context.Background()

func beCode(code errs.Code) gomega.OmegaMatcher {
	return gomega.WithTransform(func(err error) errs.Code { return errs.As(err).Code }, gomega.Equal(code))
}

func start(t *testing.T) (*platform.Server, string) {
	server, address := serve(t)
	t.Cleanup(func() { _ = server.Close() })
	return server, address
}

func serve(t interface{ Fatal(...any) }) (*platform.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := platform.New()
	go func() { _ = server.Serve(listener) }()
	return server, listener.Addr().String()
}

// callTimeout is long enough for a call on a busy machine and short enough for
// the tests that wait for it.
const callTimeout = 2 * time.Second

func connect(t *testing.T, address string) *httpstore.Client {
	client := httpstore.New(httpstore.Options{Address: address, CallTimeout: callTimeout})
	t.Cleanup(client.Close)
	return client
}

// Guards against a difference between the client and the store that it reaches,
// for any key, value and condition.
func TestClientAgreesWithMemstore(t *testing.T) {
	var closing sync.WaitGroup
	defer closing.Wait()
	rapid.Check(t, func(t *rapid.T) {
		server, address := serve(t)
		defer closing.Go(func() { _ = server.Close() })
		client := httpstore.New(httpstore.Options{Address: address})
		defer client.Close()
		reference := memstore.New()
		key := rapid.SampledFrom([]string{"a/b", "a/b?c=1&d", "ä %2F/..", ".", "//"})
		for range rapid.IntRange(1, 12).Draw(t, "calls") {
			k, v := key.Draw(t, "key"), rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "value")
			n := rapid.Int64Range(0, 3).Draw(t, "number")
			op := rapid.IntRange(0, 6).Draw(t, "op")
			got, gotErr := perform(client, op, k, v, n)
			want, wantErr := perform(reference, op, k, v, n)
			if (gotErr == nil) != (wantErr == nil) || gotErr != nil && errs.As(gotErr).Code != errs.As(wantErr).Code {
				t.Fatalf("op %d: error %v, want %v", op, gotErr, wantErr)
			}
			if got != want {
				t.Fatalf("op %d: %+v, want %+v", op, got, want)
			}
		}
	})
}

func perform(s api.Store, op int, key string, value []byte, n int64) (any, error) {
	switch op {
	case 0:
		return wrap(s.Get(ctx, key, n))
	case 1:
		return wrap(s.Create(ctx, key, value))
	case 2:
		return wrap(s.Update(ctx, key, value, n))
	case 3:
		return wrap(s.Put(ctx, key, value))
	case 4:
		return "", s.Delete(ctx, key, n)
	case 5:
		page, err := s.List(ctx, "a", "", int(n), n)
		return len(page.Objects), err
	}
	changes, err := s.Watch(ctx, "", n, 0)
	return len(changes.Changes), err
}

func wrap(object api.Object, err error) (any, error) {
	return object.Key + string(object.Value), err
}

// Guards against a lost response that is reported as a failure without effect.
func TestLostResponseOfWriteIsAmbiguous(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := start(t)
	client := connect(t, address)
	server.Store.Inject(memstore.Rule{Fault: memstore.LoseResponse, Count: 1})
	_, err := client.Put(ctx, "a", []byte("1"))
	g.Expect(err).To(beCode(errs.StoreAmbiguous))
	object, err := client.Get(ctx, "a", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(object.Version).To(gomega.BeEquivalentTo(1))
}

func TestRefusedConnectionHasNoEffect(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := start(t)
	g.Expect(connect(t, address).Delete(ctx, "a", 1)).To(beCode(errs.NotFound))
	g.Expect(server.Close()).To(gomega.Succeed())
	_, err := connect(t, address).Put(ctx, "a", nil)
	g.Expect(err).To(beCode(errs.StoreUnavailable))
}

// Guards against connections that are used again after they went silent.
func TestSilentConnectionsAreReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	_, address := start(t)
	relay := startRelay(t, address)
	client := connect(t, relay.listener.Addr().String())
	_, err := client.Put(ctx, "a", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	relay.silence()
	_, err = client.Get(ctx, "a", 0)
	g.Expect(err).NotTo(gomega.HaveOccurred(), "a read is repeated on a new connection")

	relay.silence()
	_, err = client.Put(ctx, "a", nil)
	g.Expect(err).To(beCode(errs.StoreAmbiguous))
	object, err := client.Put(ctx, "a", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(object.Version).To(gomega.BeEquivalentTo(2), "the write on the silent connection was sent once and got lost")
	g.Expect(relay.accepted.Load()).To(gomega.BeEquivalentTo(3))
}

// Guards against a pool of connections that went silent together and each cost
// a call its time.
func TestOneTimeoutReplacesAllSilentConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := start(t)
	relay := startRelay(t, address)
	client := connect(t, relay.listener.Addr().String())
	const connections = 4
	server.Store.Inject(memstore.Rule{Fault: memstore.Slow, Delay: callTimeout / 10, Count: 2 * connections})
	var group sync.WaitGroup
	for range connections {
		group.Go(func() { _, _ = client.Watch(ctx, "a", 0, 0) })
		group.Go(func() { _, _ = client.List(ctx, "a", "", 0, 0) })
	}
	group.Wait()
	before := relay.accepted.Load()
	relay.silence()
	_, err := client.List(ctx, "a", "", 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = client.Watch(ctx, "a", 0, 0)
	g.Expect(err).To(beCode(errs.StoreUnavailable), "a watch is not repeated")
	_, err = client.Watch(ctx, "a", 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(relay.accepted.Load()).To(gomega.Equal(before + 2))
}

func TestDeadlineAndCancelEndCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := start(t)
	client := connect(t, address)
	server.Store.Inject(memstore.Rule{Fault: memstore.Slow, Op: memstore.OpWrite, Delay: time.Minute})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err := client.Put(short, "a", nil)
	g.Expect(err).To(beCode(errs.StoreAmbiguous))

	watching, giveUp := context.WithCancel(ctx)
	failed := make(chan error, 1)
	go func() {
		_, err := client.Watch(watching, "a", 0, time.Minute)
		failed <- err
	}()
	g.Eventually(func() int { return server.Store.Counts().Waiting }).Should(gomega.Equal(1))
	giveUp()
	g.Eventually(failed).Should(gomega.Receive(beCode(errs.StoreUnavailable)))
}

func TestWatchAndOutageAndRates(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := start(t)
	client := connect(t, address)
	changed := make(chan api.Changes, 1)
	go func() {
		changes, _ := client.Watch(ctx, "a", 0, time.Minute)
		changed <- changes
	}()
	g.Eventually(func() int { return server.Store.Counts().Waiting }).Should(gomega.Equal(1))
	_, err := client.Put(ctx, "a", []byte("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var changes api.Changes
	g.Eventually(changed).Should(gomega.Receive(&changes))
	g.Expect(changes.Changes).To(gomega.HaveLen(1))

	server.Store.SetOutage(true)
	_, err = client.Put(ctx, "a", nil)
	g.Expect(err).To(beCode(errs.StoreUnavailable))
	server.Store.ClearFaults()
	server.Store.SetRates(memstore.Rates{Writes: 0.001})
	_, err = client.Put(ctx, "a", nil)
	g.Expect(err).To(beCode(errs.StoreUnavailable))
	g.Expect(errs.As(err).Retry).To(gomega.BeNumerically(">", 0))
}

// Guards against the largest value or a full page being refused on the way.
func TestLargestValue(t *testing.T) {
	g := gomega.NewWithT(t)
	_, address := start(t)
	client := connect(t, address)
	value := make([]byte, api.MaxValueBytes)
	for _, key := range []string{"a", "b"} {
		_, err := client.Put(ctx, key, value)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	page, err := client.List(ctx, "", "", 0, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(page.More).To(gomega.BeTrue())
	_, err = client.Put(ctx, "a", append(value, 0))
	g.Expect(err).To(beCode(errs.TooLarge))
}

func TestListIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	server, address := start(t)
	server.List.Set(model.Listing{Targets: []model.Target{{Name: "runner-1", Slots: 4}}})
	listing, err := connect(t, address).Lister().List(ctx)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(listing.Targets).To(gomega.ConsistOf(model.Target{Name: "runner-1", Slots: 4}))
}
