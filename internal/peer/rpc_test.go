package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// EchoArgs is exported because net/rpc demands it of arguments.
type EchoArgs struct{ Text string }

type echo struct {
	entered chan struct{}
	release chan struct{}
}

func (*echo) Say(args EchoArgs, reply *EchoArgs) error {
	reply.Text = args.Text
	return nil
}

func (e *echo) Wait(args EchoArgs, reply *EchoArgs) error {
	e.entered <- struct{}{}
	<-e.release
	reply.Text = args.Text
	return nil
}

func (*echo) Grow(_ EchoArgs, reply *EchoArgs) error {
	reply.Text = string(make([]byte, MaxMessageBytes+1))
	return nil
}

func (*echo) Fail(EchoArgs, *EchoArgs) error { return errs.New(errs.NotOwner, "another VM owns it") }

type fixture struct {
	*gomega.WithT
	server *Server
	client *Client
	echo   *echo
	clocks [2]*timeline.Clock // of server and client
}

// testTimes probe often, and wait so long for an answer that a busy machine does
// not make a working connection look silent.
var testTimes = ClientSettings{
	CallTimeout: time.Minute, BusyProbe: 20 * time.Millisecond, ProbeTimeout: 2 * time.Second,
}

// Only a hang should end a wait: the default of one second is too short for a
// busy machine.
func init() { gomega.SetDefaultEventuallyTimeout(time.Minute) }

func newFixture(t *testing.T, settings ClientSettings) *fixture {
	g := gomega.NewWithT(t)
	f := &fixture{WithT: g, echo: &echo{entered: make(chan struct{}, 8), release: make(chan struct{})}}
	f.clocks = [2]*timeline.Clock{timeline.NewClock(time.Now), timeline.NewClock(time.Now)}
	var err error
	f.server, err = Listen("127.0.0.1:0", testCredentials(t, "one"), f.clocks[0])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(f.server.Register("Echo", f.echo)).To(gomega.Succeed())
	f.server.Serve()
	f.client = NewClient(testCredentials(t, "one"), f.clocks[1], settings)
	t.Cleanup(func() { f.client.Close(); f.server.Close() })
	return f
}

func testCredentials(t *testing.T, name string) *Credentials {
	c, err := NewCredentials([]byte("a cluster secret for tests: " + name))
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return c
}

func (f *fixture) say(addr string) error {
	var reply EchoArgs
	err := f.client.Call(context.Background(), addr, "Echo.Say", EchoArgs{Text: "hello"}, &reply)
	if err == nil {
		f.Expect(reply.Text).To(gomega.Equal("hello"))
	}
	return err
}

// Guards against lost arguments, untyped errors of methods and calls that do
// not carry the causal order.
func TestCallCarriesArgumentsErrorsAndStamps(t *testing.T) {
	f := newFixture(t, testTimes)
	ahead := timeline.Stamp{Wall: time.Now().Add(timeline.MaxSkew / 2).UnixNano()}
	f.clocks[1].Merge(ahead)
	f.Expect(f.say(f.server.Addr())).To(gomega.Succeed())
	f.Expect(ahead.Less(f.clocks[0].Now())).To(gomega.BeTrue())

	err := errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.Fail", EchoArgs{}, &EchoArgs{}))
	f.Expect(err.Code).To(gomega.Equal(errs.NotOwner))
	f.Expect(err.Ran).To(gomega.Equal(errs.RanYes))
	err = errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.None", EchoArgs{}, &EchoArgs{}))
	f.Expect(err.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against a process with another secret, or none, that gets in.
func TestStrangersAreRefused(t *testing.T) {
	f := newFixture(t, testTimes)
	stranger := NewClient(testCredentials(t, "two"), f.clocks[1], testTimes)
	defer stranger.Close()
	err := errs.As(stranger.Call(context.Background(), f.server.Addr(), "Echo.Say", EchoArgs{}, &EchoArgs{}))
	f.Expect(err.Code).To(gomega.Equal(errs.Unauthenticated))
	f.Expect(err.Ran).To(gomega.Equal(errs.RanNo))

	for range MaxHandshakes {
		conn, dialErr := net.Dial("tcp", f.server.Addr())
		f.Expect(dialErr).NotTo(gomega.HaveOccurred())
		defer func() { _ = conn.Close() }()
	}
	f.Eventually(func() int64 {
		conn, dialErr := net.Dial("tcp", f.server.Addr())
		f.Expect(dialErr).NotTo(gomega.HaveOccurred())
		_ = conn.Close()
		return f.server.Stats().RefusedLimit
	}).Should(gomega.BeNumerically(">", 0))
}

// Guards against an unreachable peer that is reported as if the call may have
// run, and against a client that doesn't connect again when the peer is back.
func TestUnreachablePeerDidNotRun(t *testing.T) {
	f := newFixture(t, testTimes)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	addr := listener.Addr().String()
	f.Expect(listener.Close()).To(gomega.Succeed())
	failure := errs.As(f.say(addr))
	f.Expect(failure.Code).To(gomega.Equal(errs.PeerUnavailable))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against a connection that goes silent for ever and blocks a peer.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFixture(t, testTimes)
	link := newRelay(t, f.server.Addr())
	f.Expect(f.say(link.addr)).To(gomega.Succeed())
	link.silence()
	failure := errs.As(f.say(link.addr))
	f.Expect(failure.Code).To(gomega.Equal(errs.PeerUnavailable))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
	f.Expect(f.say(link.addr)).To(gomega.Succeed())

	// Without a probe in time, the unanswered call itself replaces it.
	slow := testTimes
	slow.BusyProbe, slow.IdleProbe = time.Hour, time.Hour
	f.client = NewClient(testCredentials(t, "one"), f.clocks[1], slow)
	defer f.client.Close()
	f.Expect(f.say(link.addr)).To(gomega.Succeed())
	link.silence()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	failure = errs.As(f.client.Call(ctx, link.addr, "Echo.Say", EchoArgs{}, &EchoArgs{}))
	f.Expect(failure.Code).To(gomega.Equal(errs.Timeout))
	f.Expect(f.say(link.addr)).To(gomega.Succeed())
}

// Guards against a deadline that is not honoured, against a slow call that
// breaks the calls beside it, and against a late reply that changes the
// caller's value.
func TestDeadlineAbandonsOnlyItsCall(t *testing.T) {
	f := newFixture(t, testTimes)
	ctx, cancel := context.WithCancel(context.Background())
	var reply EchoArgs
	result := make(chan error, 1)
	go func() {
		result <- f.client.Call(ctx, f.server.Addr(), "Echo.Wait", EchoArgs{Text: "late"}, &reply)
	}()
	<-f.echo.entered
	f.Expect(f.say(f.server.Addr())).To(gomega.Succeed())
	cancel()
	failure := errs.As(<-result)
	f.Expect(failure.Code).To(gomega.Equal(errs.Cancelled))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
	close(f.echo.release)
	f.Expect(f.say(f.server.Addr())).To(gomega.Succeed())
	f.Expect(reply.Text).To(gomega.BeEmpty())
	f.Expect(f.server.Stats().Connections).To(gomega.BeNumerically("==", 1))
}

// Guards against idle connections that stay open, and calls lost by closing one.
func TestIdleConnectionIsClosed(t *testing.T) {
	settings := testTimes
	settings.IdleClose = 30 * time.Millisecond
	f := newFixture(t, settings)
	f.Expect(f.say(f.server.Addr())).To(gomega.Succeed())
	f.Eventually(func() int64 { return f.server.Stats().Connections }).Should(gomega.BeZero())
	f.Expect(f.say(f.server.Addr())).To(gomega.Succeed())
}

// Guards against calls without bound in a process.
func TestConcurrentCallsAreBounded(t *testing.T) {
	settings := testTimes
	settings.MaxConcurrent = 1
	f := newFixture(t, settings)
	result := make(chan error, 1)
	go func() {
		result <- f.client.Call(context.Background(), f.server.Addr(), "Echo.Wait", EchoArgs{}, &EchoArgs{})
	}()
	<-f.echo.entered
	failure := errs.As(f.say(f.server.Addr()))
	f.Expect(failure.Code).To(gomega.Equal(errs.Overloaded))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
	close(f.echo.release)
	f.Expect(<-result).To(gomega.Succeed())

	codec := &serverCodec{stream: newStream(nil, f.clocks[0])}
	var wire bytes.Buffer
	f.Expect(gob.NewEncoder(&wire).Encode(EchoArgs{})).To(gomega.Succeed())
	codec.reader.source.Reset(&wire)
	codec.running.Store(MaxCallsPerConnection + 1)
	f.Expect(errs.Is(codec.ReadRequestBody(&EchoArgs{}), errs.Overloaded)).To(gomega.BeTrue())
}

// Guards against a message that makes the reader allocate without bound.
func TestMessageReaderBoundsMessagesAndTypes(t *testing.T) {
	g := gomega.NewWithT(t)
	huge := newMessageReader(bytes.NewReader([]byte{0xfc, 0x40, 0, 0, 0, 1, 2}))
	g.Expect(errs.Is(gob.NewDecoder(huge).Decode(&EchoArgs{}), errs.TooLarge)).To(gomega.BeTrue())

	flood := newMessageReader(bytes.NewReader(make([]byte, 2*maxTypeMessages)))
	_, err := io.Copy(io.Discard, onlyReader{flood})
	g.Expect(errs.Is(err, errs.InvalidMessage)).To(gomega.BeTrue())

	text := string(make([]byte, MaxMessageBytes/2))
	var wire bytes.Buffer
	g.Expect(gob.NewEncoder(&wire).Encode(EchoArgs{Text: text})).To(gomega.Succeed())
	var got EchoArgs
	g.Expect(gob.NewDecoder(newMessageReader(&wire)).Decode(&got)).To(gomega.Succeed())
	g.Expect(got.Text == text).To(gomega.BeTrue())
}

type onlyReader struct{ io.Reader }

// Guards against a body over the bound that ends more than its own connection.
func TestOversizedCallLeavesTheServerUsable(t *testing.T) {
	f := newFixture(t, testTimes)
	big := EchoArgs{Text: string(make([]byte, MaxMessageBytes+1))}
	failure := errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.Say", big, &EchoArgs{}))
	f.Expect(failure.Code).To(gomega.Equal(errs.TooLarge))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
	f.Expect(f.say(f.server.Addr())).To(gomega.Succeed())

	type otherArgs struct{ Text []int }
	failure = errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.Say", otherArgs{Text: []int{1}}, &EchoArgs{}))
	f.Expect(failure.Code).To(gomega.Equal(errs.InvalidMessage))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
	f.Expect(f.say(f.server.Addr())).To(gomega.Succeed())

	failure = errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.Grow", EchoArgs{}, &EchoArgs{}))
	f.Expect(failure.Code).To(gomega.Equal(errs.PeerUnavailable))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
	f.Expect(f.say(f.server.Addr())).To(gomega.Succeed())
}

// Guards against a reply that is too large to read and is reported as a call
// that was not sent.
func TestUnreadableReplyIsNotReportedAsUnsent(t *testing.T) {
	f := newFixture(t, testTimes)
	conn := newConnection("peer", f.client)
	failure := errs.As(conn.callError("Echo.Say", errs.New(errs.TooLarge, "peer message is too large")))
	f.Expect(failure.Code).To(gomega.Equal(errs.PeerUnavailable))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
	failure = errs.As(conn.callError("Echo.Say", unsentError{errs.New(errs.TooLarge, "too large")}))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against an error text that is mapped to a wrong statement.
func TestServerErrorsAreTyped(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(serverError("no code").Code).To(gomega.Equal(errs.Internal))
	g.Expect(serverError(rpc.ErrShutdown.Error()).Ran).To(gomega.Equal(errs.RanYes))
}

// relay forwards TCP connections and can stop forwarding on the present ones
// without closing them.
type relay struct {
	addr string
	mu   sync.Mutex
	hush chan struct{}
}

func newRelay(t *testing.T, target string) *relay {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{addr: listener.Addr().String(), hush: make(chan struct{})}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				continue
			}
			r.mu.Lock()
			hush := r.hush
			r.mu.Unlock()
			go forward(in, out, hush)
			go forward(out, in, hush)
		}
	}()
	return r
}

func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.hush)
	r.hush = make(chan struct{})
}

func forward(from, to net.Conn, hush chan struct{}) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-hush:
			n = 0
		default:
		}
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
