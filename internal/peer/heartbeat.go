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
	// engineStopTimeout limits the wait of Close for the gnet engine.
	engineStopTimeout = 5 * time.Second
	// receiveBufferBytes is the size of the socket's receive buffer. It has room
	// for several datagrams of each of 350 VMs while the event loop is busy.
	receiveBufferBytes = 2 << 20
	readBufferBytes    = 1 << 16 // the largest UDP datagram
)

// HeartbeatSettings are the parameters of StartHeartbeats.
type HeartbeatSettings struct {
	Addr        string       // "ip:port" address to bind; with port 0 the kernel chooses the port
	Self        model.Holder // VM and incarnation of this process
	Credentials *Credentials
	Clock       Clock
	Logger      zerolog.Logger // receives warnings and errors of the socket
	// HandleDigest is called with each accepted digest. It runs on the event loop
	// and must not block.
	HandleDigest func(digest rpcapi.Digest)
}

// HeartbeatStats contain the numbers of datagrams and of their bytes since the
// start, without UDP and IP headers.
type HeartbeatStats struct {
	Sent, SentBytes         uint64
	Received, ReceivedBytes uint64             // accepted datagrams only
	Refused                 map[Refusal]uint64 // dropped datagrams by reason
}

// Heartbeats sends and receives digests. It is safe for concurrent use.
type Heartbeats struct {
	gnet.BuiltinEventEngine
	settings      HeartbeatSettings
	filter        *digestFilter
	engine        gnet.Engine
	socket        *net.UDPConn // duplicate of the engine's socket, used for sending
	started       chan error
	stopped       chan struct{}
	sequence      atomic.Uint64
	sent          atomic.Uint64
	sentBytes     atomic.Uint64
	received      atomic.Uint64
	receivedBytes atomic.Uint64
	refused       map[Refusal]*atomic.Uint64
}

// StartHeartbeats binds the address and receives heartbeats until Close is called.
// It fails with errs.InvalidSettings if the address cannot be bound.
func StartHeartbeats(settings HeartbeatSettings) (*Heartbeats, error) {
	h := &Heartbeats{
		settings: settings, filter: newDigestFilter(settings.Self),
		started: make(chan error, 1), stopped: make(chan struct{}), refused: map[Refusal]*atomic.Uint64{},
	}
	for _, reason := range RefusalReasons {
		h.refused[reason] = &atomic.Uint64{}
	}
	go func() {
		defer close(h.stopped)
		err := gnet.Run(h, "udp://"+settings.Addr,
			gnet.WithNumEventLoop(1), gnet.WithSocketRecvBuffer(receiveBufferBytes), gnet.WithReadBufferCap(readBufferBytes),
			gnet.WithLogger(gnetLogger{settings.Logger}))
		if err != nil {
			h.started <- err
		}
	}()
	if err := <-h.started; err != nil {
		return nil, errs.Wrap(err, errs.InvalidSettings, "listen for heartbeats on "+settings.Addr)
	}
	return h, nil
}

// OnBoot implements gnet.EventHandler.
func (h *Heartbeats) OnBoot(engine gnet.Engine) gnet.Action {
	socket, err := duplicateSocket(engine)
	h.engine, h.socket = engine, socket
	h.started <- err
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

// duplicateSocket returns a duplicate of the engine's socket, which any goroutine
// can use for sending. Sending on it makes heartbeats come from the address on
// which the process receives them.
func duplicateSocket(engine gnet.Engine) (*net.UDPConn, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "duplicate the heartbeat socket")
	}
	file := os.NewFile(uintptr(fd), "heartbeats")
	defer func() { _ = file.Close() }()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "open the duplicated heartbeat socket")
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
		refusal = h.filter.admit(digest)
	}
	if refusal != accepted {
		h.refused[refusal].Add(1)
		return gnet.None
	}
	h.received.Add(1)
	h.receivedBytes.Add(uint64(len(datagram)))
	h.settings.Clock.Merge(digest.Stamp)
	h.settings.HandleDigest(digest)
	return gnet.None
}

// Addr returns the bound "ip:port" address.
func (h *Heartbeats) Addr() string { return h.socket.LocalAddr().String() }

// Send sends a digest to the VM named to at an "ip:port" address. It sets the
// fields From, To, Heard, Stamp and Sequence of the digest. A nil error does not
// mean that the digest arrives.
//
// Send fails with errs.InvalidRequest if the address is malformed, with
// errs.TooLarge if the digest with a single group does not fit into a datagram,
// and with errs.PeerUnavailable if a datagram could not be sent.
func (h *Heartbeats) Send(to, addr string, digest rpcapi.Digest) error {
	destination, err := netip.ParseAddrPort(addr)
	if err != nil {
		return errs.Wrap(err, errs.InvalidRequest, "parse the heartbeat address of "+to)
	}
	digest.From, digest.To = h.settings.Self, to
	digest.Heard, digest.Stamp = h.filter.lastHeartbeatFrom(to), h.settings.Clock.Now()
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

// Stats returns a copy of the counters.
func (h *Heartbeats) Stats() HeartbeatStats {
	stats := HeartbeatStats{
		Sent: h.sent.Load(), SentBytes: h.sentBytes.Load(),
		Received: h.received.Load(), ReceivedBytes: h.receivedBytes.Load(), Refused: map[Refusal]uint64{},
	}
	for reason, count := range h.refused {
		stats.Refused[reason] = count.Load()
	}
	return stats
}

// Close closes the socket and waits until the event loop has ended.
func (h *Heartbeats) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), engineStopTimeout)
	defer cancel()
	_ = h.socket.Close()
	if err := h.engine.Stop(ctx); err != nil {
		return errs.Wrap(err, errs.Internal, "stop the heartbeat event loop")
	}
	<-h.stopped
	return nil
}
