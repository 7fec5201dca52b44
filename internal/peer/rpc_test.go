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

// EchoArgs is exported because net/rpc requires exported argument types.
type EchoArgs struct{ Text string }

// echo is a net/rpc service.
type echo struct {
	waiting chan struct{} // receives a value when Wait is called
	release chan struct{} // closed to let Wait return
}

// Say returns its argument.
func (*echo) Say(args EchoArgs, reply *EchoArgs) error {
	reply.Text = args.Text
	return nil
}

// Wait returns its argument once release is closed.
func (e *echo) Wait(args EchoArgs, reply *EchoArgs) error {
	e.waiting <- struct{}{}
	<-e.release
	reply.Text = args.Text
	return nil
}

// Grow returns a reply that exceeds MaxMessageBytes.
func (*echo) Grow(_ EchoArgs, reply *EchoArgs) error {
	reply.Text = string(make([]byte, MaxMessageBytes+1))
	return nil
}

func (*echo) Fail(EchoArgs, *EchoArgs) error {
	return errs.New(errs.NotOwner, "another VM owns the group")
}

type fixture struct {
	*gomega.WithT
	server *Server
	client *Client
	echo   *echo
	clocks [2]*timeline.Clock // of server and client
}

// testSettings make a client probe every 20 ms. The probe timeout of 2 s is long
// enough that a working connection does not fail a probe on a busy machine.
var testSettings = ClientSettings{
	CallTimeout: time.Minute, BusyProbeInterval: 20 * time.Millisecond, ProbeTimeout: 2 * time.Second,
}

// The default timeout of gomega.Eventually, 1 s, is too short on a busy machine. One
// minute only expires if a test hangs.
func init() { gomega.SetDefaultEventuallyTimeout(time.Minute) }

func newFixture(t *testing.T, settings ClientSettings) *fixture {
	g := gomega.NewWithT(t)
	f := &fixture{WithT: g, echo: &echo{waiting: make(chan struct{}, 8), release: make(chan struct{})}}
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

// callSay calls Echo.Say at addr and checks the reply.
func (f *fixture) callSay(addr string) error {
	var reply EchoArgs
	err := f.client.Call(context.Background(), addr, "Echo.Say", EchoArgs{Text: "hello"}, &reply)
	if err == nil {
		f.Expect(reply.Text).To(gomega.Equal("hello"))
	}
	return err
}

// Guards against arguments that are lost on the wire, errors of methods that lose
// their code, and calls that do not merge the caller's timeline stamp.
func TestCallTransfersArgumentsErrorsAndStamps(t *testing.T) {
	f := newFixture(t, testSettings)
	futureStamp := timeline.Stamp{Wall: time.Now().Add(timeline.MaxSkew / 2).UnixNano()}
	f.clocks[1].Merge(futureStamp)
	f.Expect(f.callSay(f.server.Addr())).To(gomega.Succeed())
	f.Expect(futureStamp.Less(f.clocks[0].Now())).To(gomega.BeTrue())

	err := errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.Fail", EchoArgs{}, &EchoArgs{}))
	f.Expect(err.Code).To(gomega.Equal(errs.NotOwner))
	f.Expect(err.Ran).To(gomega.Equal(errs.RanYes))
	err = errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.None", EchoArgs{}, &EchoArgs{}))
	f.Expect(err.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against a process with another cluster secret that can make calls, and
// against unauthenticated connections without limit.
func TestServerRefusesUnauthenticatedConnections(t *testing.T) {
	f := newFixture(t, testSettings)
	unauthenticated := NewClient(testCredentials(t, "two"), f.clocks[1], testSettings)
	defer unauthenticated.Close()
	err := errs.As(unauthenticated.Call(context.Background(), f.server.Addr(), "Echo.Say", EchoArgs{}, &EchoArgs{}))
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
		return f.server.Stats().RefusedOverLimit
	}).Should(gomega.BeNumerically(">", 0))
}

// Guards against an error that reports a call to an unreachable peer as one that
// may have run.
func TestUnreachablePeerReportsCallNotRun(t *testing.T) {
	f := newFixture(t, testSettings)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	f.Expect(err).NotTo(gomega.HaveOccurred())
	addr := listener.Addr().String()
	f.Expect(listener.Close()).To(gomega.Succeed())
	failure := errs.As(f.callSay(addr))
	f.Expect(failure.Code).To(gomega.Equal(errs.PeerUnavailable))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against calls that keep using a connection that has stopped delivering
// data without being closed.
func TestSilentConnectionIsReplaced(t *testing.T) {
	f := newFixture(t, testSettings)
	link := newRelay(t, f.server.Addr())
	f.Expect(f.callSay(link.addr)).To(gomega.Succeed())
	link.silence()
	failure := errs.As(f.callSay(link.addr))
	f.Expect(failure.Code).To(gomega.Equal(errs.PeerUnavailable))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
	f.Expect(f.callSay(link.addr)).To(gomega.Succeed())

	// If no probe is due, the call that times out makes the client use a new
	// connection.
	withoutProbes := testSettings
	withoutProbes.BusyProbeInterval, withoutProbes.IdleProbeInterval = time.Hour, time.Hour
	f.client = NewClient(testCredentials(t, "one"), f.clocks[1], withoutProbes)
	defer f.client.Close()
	f.Expect(f.callSay(link.addr)).To(gomega.Succeed())
	link.silence()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	failure = errs.As(f.client.Call(ctx, link.addr, "Echo.Say", EchoArgs{}, &EchoArgs{}))
	f.Expect(failure.Code).To(gomega.Equal(errs.Timeout))
	f.Expect(f.callSay(link.addr)).To(gomega.Succeed())
}

// Guards against a call that does not return when its context ends, an abandoned
// call that breaks other calls on the connection, and a late reply that changes the
// caller's value.
func TestCancellationAbandonsOnlyItsCall(t *testing.T) {
	f := newFixture(t, testSettings)
	ctx, cancel := context.WithCancel(context.Background())
	var reply EchoArgs
	result := make(chan error, 1)
	go func() {
		result <- f.client.Call(ctx, f.server.Addr(), "Echo.Wait", EchoArgs{Text: "late"}, &reply)
	}()
	<-f.echo.waiting
	f.Expect(f.callSay(f.server.Addr())).To(gomega.Succeed())
	cancel()
	failure := errs.As(<-result)
	f.Expect(failure.Code).To(gomega.Equal(errs.Cancelled))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
	close(f.echo.release)
	f.Expect(f.callSay(f.server.Addr())).To(gomega.Succeed())
	f.Expect(reply.Text).To(gomega.BeEmpty())
	f.Expect(f.server.Stats().Connections).To(gomega.BeNumerically("==", 1))
}

// Guards against idle connections that stay open, and against calls that fail
// because an idle connection was closed.
func TestIdleConnectionIsClosed(t *testing.T) {
	settings := testSettings
	settings.IdleTimeout = 30 * time.Millisecond
	f := newFixture(t, settings)
	f.Expect(f.callSay(f.server.Addr())).To(gomega.Succeed())
	f.Eventually(func() int64 { return f.server.Stats().Connections }).Should(gomega.BeZero())
	f.Expect(f.callSay(f.server.Addr())).To(gomega.Succeed())
}

// Guards against an unlimited number of concurrent calls, on the client and on the
// server.
func TestConcurrentCallsAreBounded(t *testing.T) {
	settings := testSettings
	settings.MaxConcurrentCalls = 1
	f := newFixture(t, settings)
	result := make(chan error, 1)
	go func() {
		result <- f.client.Call(context.Background(), f.server.Addr(), "Echo.Wait", EchoArgs{}, &EchoArgs{})
	}()
	<-f.echo.waiting
	failure := errs.As(f.callSay(f.server.Addr()))
	f.Expect(failure.Code).To(gomega.Equal(errs.Overloaded))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
	close(f.echo.release)
	f.Expect(<-result).To(gomega.Succeed())

	codec := &serverCodec{stream: newStream(nil, f.clocks[0])}
	var wire bytes.Buffer
	f.Expect(gob.NewEncoder(&wire).Encode(EchoArgs{})).To(gomega.Succeed())
	codec.reader.source.Reset(&wire)
	codec.runningCalls.Store(MaxCallsPerConnection + 1)
	f.Expect(errs.Is(codec.ReadRequestBody(&EchoArgs{}), errs.Overloaded)).To(gomega.BeTrue())
}

// Guards against messages and type definitions that make the decoder allocate memory
// without limit.
func TestMessageReaderBoundsMessagesAndTypes(t *testing.T) {
	g := gomega.NewWithT(t)
	oversized := newMessageReader(bytes.NewReader([]byte{0xfc, 0x40, 0, 0, 0, 1, 2}))
	g.Expect(errs.Is(gob.NewDecoder(oversized).Decode(&EchoArgs{}), errs.TooLarge)).To(gomega.BeTrue())

	manyMessages := newMessageReader(bytes.NewReader(make([]byte, 2*maxTypeMessages)))
	_, err := io.Copy(io.Discard, readerOnly{manyMessages})
	g.Expect(errs.Is(err, errs.InvalidMessage)).To(gomega.BeTrue())

	text := string(make([]byte, MaxMessageBytes/2))
	var wire bytes.Buffer
	g.Expect(gob.NewEncoder(&wire).Encode(EchoArgs{Text: text})).To(gomega.Succeed())
	var got EchoArgs
	g.Expect(gob.NewDecoder(newMessageReader(&wire)).Decode(&got)).To(gomega.Succeed())
	g.Expect(got.Text == text).To(gomega.BeTrue())
}

// readerOnly hides the other methods of a reader.
type readerOnly struct{ io.Reader }

// Guards against an oversized or undecodable body that affects more than its own
// connection.
func TestOversizedCallLeavesTheServerUsable(t *testing.T) {
	f := newFixture(t, testSettings)
	big := EchoArgs{Text: string(make([]byte, MaxMessageBytes+1))}
	failure := errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.Say", big, &EchoArgs{}))
	f.Expect(failure.Code).To(gomega.Equal(errs.TooLarge))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
	f.Expect(f.callSay(f.server.Addr())).To(gomega.Succeed())

	type otherArgs struct{ Text []int }
	failure = errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.Say", otherArgs{Text: []int{1}}, &EchoArgs{}))
	f.Expect(failure.Code).To(gomega.Equal(errs.InvalidMessage))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
	f.Expect(f.callSay(f.server.Addr())).To(gomega.Succeed())

	failure = errs.As(f.client.Call(context.Background(), f.server.Addr(), "Echo.Grow", EchoArgs{}, &EchoArgs{}))
	f.Expect(failure.Code).To(gomega.Equal(errs.PeerUnavailable))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
	f.Expect(f.callSay(f.server.Addr())).To(gomega.Succeed())
}

// Guards against an error that reports a call as not sent although only its reply
// was too large to read.
func TestUnreadableReplyIsNotReportedAsUnsent(t *testing.T) {
	f := newFixture(t, testSettings)
	conn := newConnection("peer", f.client)
	failure := errs.As(conn.handleCallError("Echo.Say", errs.New(errs.TooLarge, "message from the peer exceeds 4 MiB")))
	f.Expect(failure.Code).To(gomega.Equal(errs.PeerUnavailable))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanUnknown))
	failure = errs.As(conn.handleCallError("Echo.Say", unsentError{errs.New(errs.TooLarge, "too large")}))
	f.Expect(failure.Ran).To(gomega.Equal(errs.RanNo))
}

// Guards against error texts that are restored with a wrong code or a wrong Ran
// value.
func TestServerErrorsAreTyped(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(parseServerError("no code").Code).To(gomega.Equal(errs.Internal))
	g.Expect(parseServerError(rpc.ErrShutdown.Error()).Ran).To(gomega.Equal(errs.RanYes))
}

// relay forwards TCP connections to a server and can stop forwarding on its open
// connections without closing them.
type relay struct {
	addr     string // "ip:port" address on which the relay listens
	mu       sync.Mutex
	silenced chan struct{} // closed to stop forwarding on the connections accepted so far
}

func newRelay(t *testing.T, serverAddr string) *relay {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() })
	r := &relay{addr: listener.Addr().String(), silenced: make(chan struct{})}
	go func() {
		for {
			clientConn, err := listener.Accept()
			if err != nil {
				return
			}
			serverConn, err := net.Dial("tcp", serverAddr)
			if err != nil {
				_ = clientConn.Close()
				continue
			}
			r.mu.Lock()
			silenced := r.silenced
			r.mu.Unlock()
			go forward(clientConn, serverConn, silenced)
			go forward(serverConn, clientConn, silenced)
		}
	}()
	return r
}

// silence stops forwarding on all open connections. Later connections work.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silenced)
	r.silenced = make(chan struct{})
}

// forward copies data between two connections, and discards it once silenced is
// closed.
func forward(from, to net.Conn, silenced chan struct{}) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silenced:
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

// copyingCodec writes each answer of a server once more before the next one.
type copyingCodec struct {
	*serverCodec
	last *header
	body any
}

func (c *copyingCodec) WriteResponse(r *rpc.Response, body any) error {
	if c.last != nil {
		if err := c.write(*c.last, c.body); err != nil {
			return err
		}
	}
	c.last, c.body = &header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body
	return c.serverCodec.WriteResponse(r, body)
}

// Guards against an earlier answer of a peer, or an earlier error, that comes once more and is
// taken for the answer to the next call on the connection.
func TestEarlierAnswerOfAPeerIsNotTheNextOne(t *testing.T) {
	g := gomega.NewWithT(t)
	server := rpc.NewServer()
	g.Expect(server.RegisterName("Echo", &echo{})).To(gomega.Succeed())
	near, far := net.Pipe()
	go server.ServeCodec(&copyingCodec{serverCodec: &serverCodec{stream: newStream(far, timeline.NewClock(time.Now))}})
	client := rpc.NewClientWithCodec(clientCodec{stream: newStream(near, timeline.NewClock(time.Now)), onReadError: func() {}})
	defer func() { _ = client.Close() }()
	for _, text := range []string{"a", "b", "", "c", ""} {
		var reply EchoArgs
		if text == "" {
			g.Expect(client.Call("Echo.Fail", EchoArgs{}, &reply)).To(gomega.HaveOccurred())
			continue
		}
		g.Expect(client.Call("Echo.Say", EchoArgs{Text: text}, &reply)).To(gomega.Succeed())
		g.Expect(reply.Text).To(gomega.Equal(text))
	}
}
