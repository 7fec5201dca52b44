package peer

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/rs/zerolog"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
)

const (
	stopTimeout = 5 * time.Second
	// receiveBufferBytes holds several datagrams of each of 350 VMs while the
	// event loop is busy.
	receiveBufferBytes = 2 << 20
	readBufferBytes    = 1 << 16 // the largest UDP datagram
)

// HeartbeatSettings are the parameters of StartHeartbeats.
type HeartbeatSettings struct {
	Addr        string // ip:port to bind; port 0 lets the kernel choose
	Self        model.Holder
	Credentials *Credentials
	Clock       Clock
	Logger      zerolog.Logger // for failures of the socket
	// Receive gets each accepted digest. It is called on the event loop and
	// must not block.
	Receive func(digest rpcapi.Digest)
}

// HeartbeatStats count datagrams since the start.
type HeartbeatStats struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64 // accepted
	Refused                 map[Refusal]uint64
}

// Heartbeats sends and receives digests. It is safe for concurrent use.
type Heartbeats struct {
	gnet.BuiltinEventEngine
	settings  HeartbeatSettings
	guard     *guard
	engine    gnet.Engine
	socket    *net.UDPConn // duplicate of the engine's socket, for sending
	started   chan error
	stopped   chan struct{}
	sequence  atomic.Uint64
	sent      atomic.Uint64
	sentBytes atomic.Uint64
	received  atomic.Uint64
	recvBytes atomic.Uint64
	refused   map[Refusal]*atomic.Uint64
}

// StartHeartbeats binds the address and receives until Close. It fails with
// errs.InvalidSettings if the address cannot be bound.
func StartHeartbeats(settings HeartbeatSettings) (*Heartbeats, error) {
	h := &Heartbeats{
		settings: settings, guard: newGuard(settings.Self),
		started: make(chan error, 1), stopped: make(chan struct{}), refused: map[Refusal]*atomic.Uint64{},
	}
	for _, reason := range Refusals {
		h.refused[reason] = &atomic.Uint64{}
	}
	go func() {
		defer close(h.stopped)
		err := gnet.Run(h, "udp://"+settings.Addr,
			gnet.WithNumEventLoop(1), gnet.WithSocketRecvBuffer(receiveBufferBytes), gnet.WithReadBufferCap(readBufferBytes),
			gnet.WithLogger(socketLogger{settings.Logger}))
		if err != nil {
			h.started <- err
		}
	}()
	if err := <-h.started; err != nil {
		return nil, errs.Wrap(err, errs.InvalidSettings, "receive heartbeats on "+settings.Addr)
	}
	return h, nil
}

// OnBoot implements gnet.EventHandler.
func (h *Heartbeats) OnBoot(engine gnet.Engine) gnet.Action {
	socket, err := duplicate(engine)
	h.engine, h.socket = engine, socket
	h.started <- err
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

// duplicate returns the engine's socket for sending from any goroutine, so that
// heartbeats come from the address on which the process receives them.
func duplicate(engine gnet.Engine) (*net.UDPConn, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "duplicate the heartbeat socket")
	}
	file := os.NewFile(uintptr(fd), "heartbeats")
	defer func() { _ = file.Close() }()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "use the heartbeat socket")
	}
	return conn.(*net.UDPConn), nil
}

// OnTraffic implements gnet.EventHandler.
func (h *Heartbeats) OnTraffic(conn gnet.Conn) gnet.Action {
	datagram, err := conn.Next(-1)
	if err != nil {
		return gnet.None
	}
	digest, refusal := decodeDatagram(h.settings.Credentials.macKey, datagram)
	if refusal == accepted {
		refusal = h.guard.admit(digest)
	}
	if refusal != accepted {
		h.refused[refusal].Add(1)
		return gnet.None
	}
	h.received.Add(1)
	h.recvBytes.Add(uint64(len(datagram)))
	h.settings.Clock.Merge(digest.Stamp)
	h.settings.Receive(digest)
	return gnet.None
}

// Addr returns the address that is bound.
func (h *Heartbeats) Addr() string { return h.socket.LocalAddr().String() }

// Send sends a digest to a VM at an "ip:port" address. It sets From, To, Heard,
// Stamp and Sequence. Success does not mean that the digest arrives.
//
// Errors: errs.InvalidRequest for a malformed address, errs.TooLarge for names
// that do not fit, errs.PeerUnavailable if the datagram could not be sent.
func (h *Heartbeats) Send(to, addr string, digest rpcapi.Digest) error {
	destination, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errs.Wrap(err, errs.InvalidRequest, "heartbeat address of "+to)
	}
	digest.From, digest.To = h.settings.Self, to
	digest.Heard, digest.Stamp = h.guard.heard(to), h.settings.Clock.Now()
	datagrams, err := encodeDatagrams(h.settings.Credentials.macKey, digest, func() uint64 { return h.sequence.Add(1) })
	if err != nil {
		return err
	}
	for _, datagram := range datagrams {
		if _, err := h.socket.WriteToUDPAddrPort(datagram, destination); err != nil {
			return errs.Wrap(err, errs.PeerUnavailable, "send a heartbeat to "+to)
		}
		h.sent.Add(1)
		h.sentBytes.Add(uint64(len(datagram)))
	}
	return nil
}

// Stats returns the counters.
func (h *Heartbeats) Stats() HeartbeatStats {
	stats := HeartbeatStats{
		Sent: h.sent.Load(), SentBytes: h.sentBytes.Load(),
		Received: h.received.Load(), ReceivedBytes: h.recvBytes.Load(), Refused: map[Refusal]uint64{},
	}
	for reason, count := range h.refused {
		stats.Refused[reason] = count.Load()
	}
	return stats
}

// Close stops receiving and waits for the event loop.
func (h *Heartbeats) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = h.socket.Close()
	if err := h.engine.Stop(ctx); err != nil {
		return errs.Wrap(err, errs.Internal, "stop the heartbeats")
	}
	<-h.stopped
	return nil
}
