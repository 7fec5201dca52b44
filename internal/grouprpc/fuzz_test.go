package grouprpc_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"math"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"cicadaslip/internal/advisory"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/fleet"
	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/peer"
	"cicadaslip/internal/placer"
	"cicadaslip/internal/quarantine"
	"cicadaslip/internal/timeline"
)

// receiver serves the calls between VMs. Its answers hold what it has received.
type receiver struct{}

func (receiver) Acquire(r grouprpc.AcquireRequest, reply *grouprpc.AcquireReply) error {
	reply.Grant.Request = r.Request.ID
	return nil
}

func (receiver) Events(r grouprpc.EventsRequest, reply *grouprpc.EventsReply) error {
	reply.NotOwner = len(r.Events) == 0
	return nil
}

func (receiver) Sync(r grouprpc.SyncRequest, reply *grouprpc.SyncReply) error {
	if reply.Quarantine, reply.LeavingTargets = r.Quarantine, r.LeavingTargets; r.Push != nil {
		reply.News = *r.Push
	}
	return nil
}

func (receiver) Config(r grouprpc.ConfigRequest, reply *grouprpc.ConfigReply) error {
	reply.Update.Since = r.Known
	return nil
}

func (receiver) Announce(r grouprpc.AnnounceRequest, reply *grouprpc.AnnounceReply) error {
	reply.Stopped = r.Record.Epoch > 0
	return nil
}

// header is what precedes the argument of a call on the wire.
type header struct {
	Method string
	Seq    uint64
	Error  string
	Stamp  timeline.Stamp
}

// nested is a value of a type that no argument has.
type nested struct {
	Request *nested
	Parts   []nested
	Group   map[string][]nested
}

func nest(depth int) *nested {
	if depth == 0 {
		return nil
	}
	inner := nest(depth - 1)
	n := &nested{Request: inner}
	if inner != nil {
		n.Parts, n.Group = []nested{*inner}, map[string][]nested{"g": {*inner}}
	}
	return n
}

// message returns the wire form of calls.
func message(f *testing.F, calls ...any) []byte {
	var wire bytes.Buffer
	encoder := gob.NewEncoder(&wire)
	for i := 0; i < len(calls); i += 2 {
		for _, value := range []any{header{Method: calls[i].(string), Seq: uint64(i)}, calls[i+1]} {
			if err := encoder.Encode(value); err != nil {
				f.Fatal(err)
			}
		}
	}
	return wire.Bytes()
}

// Bounds of what one connection may cost.
const (
	maxInputBytes = 64 << 10
	maxAllocated  = 16 * peer.MaxMessageBytes
)

// Guards against bytes on a connection between VMs that take the process down, block other
// connections, or cost more memory than the largest messages.
func FuzzConnection(f *testing.F) {
	request := placer.Request{
		ID: "q/1", Holder: "vm1", Adapter: placer.Adapter{Model: "m", Name: "a"}, PromptTokens: math.MaxInt, OutputTokens: -1, Deadline: math.MinInt64,
		Parts: []placer.Part{{ID: "p", Tokens: -1}}, Exclude: []string{"t0", ""},
	}
	sync := grouprpc.SyncRequest{
		Group: "s.0", VM: "vm1", Held: []grouprpc.RunningRequest{{Request: request, Target: "t0"}}, RateLimits: map[string]float64{"t0": math.NaN(), "t1": math.Inf(-1)},
		Push: &grouprpc.DeploymentUpdate{
			Targets: fleet.Changes{Full: true, Rows: []fleet.Row{{Revision: -1}}}, Config: grouprpc.ConfigUpdate{Value: []byte("{}")},
			Versions: grouprpc.VersionUpdate{Rows: []grouprpc.AdapterVersion{{Version: math.MaxInt64}}},
		},
		Quarantine:     quarantine.Delta{Observations: []quarantine.Observation{{Origin: "vm1", Number: math.MaxUint64}}},
		LeavingTargets: advisory.Delta{Leaving: []advisory.LeavingTarget{{Target: "t0", Age: -1}}},
	}
	acquire := message(f, grouprpc.AcquireMethod, grouprpc.AcquireRequest{Group: "s.0", Request: request, RateLimits: map[string]float64{"": math.Inf(1)}, Pauses: []advisory.Pause{{Target: "t", Left: -1}}})
	f.Add(acquire)
	f.Add(acquire[:len(acquire)-3])
	f.Add(append(bytes.Clone(acquire), acquire...))
	f.Add(message(f, grouprpc.SyncMethod, sync, grouprpc.SyncMethod, sync))
	f.Add(message(f, grouprpc.EventsMethod, grouprpc.EventsRequest{Events: []grouprpc.Event{{Kind: math.MaxUint8, Slowness: math.NaN(), Age: math.MinInt64}}}))
	f.Add(message(f, grouprpc.ConfigMethod, grouprpc.ConfigRequest{Known: math.MinInt64}, grouprpc.AnnounceMethod, grouprpc.AnnounceRequest{Version: -1}))
	f.Add(message(f, grouprpc.AcquireMethod, nest(6)))
	f.Add(message(f, grouprpc.SyncMethod, map[string]int{"Group": 1}, grouprpc.SyncMethod, "Group", "Groups.None", 7, "", 0.5))
	f.Add(message(f, grouprpc.AcquireMethod, struct {
		Request struct{ Parts map[string]string }
	}{}))
	f.Add([]byte{0xfc, 0x7f, 0xff, 0xff, 0xff})
	f.Add(append(message(f, grouprpc.AcquireMethod, sync)[:60], 0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff))
	f.Add([]byte(strings.Repeat("\x03\xff\x80", 100)))

	server, err := peer.Listen("127.0.0.1:0", nil, timeline.NewClock(time.Now))
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(server.Close)
	if err := server.Register(grouprpc.Service, receiver{}); err != nil {
		f.Fatal(err)
	}
	server.Serve()
	client := peer.NewClient(nil, timeline.NewClock(time.Now), peer.ClientSettings{CallTimeout: time.Minute, ProbeTimeout: time.Minute})
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, input []byte) {
		if len(input) > maxInputBytes {
			t.Skip()
		}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		conn, err := net.Dial("tcp", server.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		go func() {
			_, _ = conn.Write(input)
			_ = conn.(*net.TCPConn).CloseWrite()
		}()
		_, _ = io.Copy(io.Discard, conn) // until the server has closed the connection
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocated {
			t.Fatalf("%d bytes cost %d bytes of memory", len(input), allocated)
		}
		var reply grouprpc.AcquireReply
		if err := client.Call(context.Background(), server.Addr(), grouprpc.AcquireMethod, grouprpc.AcquireRequest{Request: placer.Request{ID: "q"}}, &reply); err != nil || reply.Grant.Request != "q" {
			t.Fatalf("a later call on another connection: %v, %+v", errs.As(err), reply.Grant)
		}
	})
}
