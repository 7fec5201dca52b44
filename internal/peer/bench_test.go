package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

const (
	benchIncarnation = 1_700_000_000_000_000_000          // Unix time in ns
	benchID          = "entry-vm-001/17000000/00000001.a" // request ID
)

func benchDigest(groups int) rpcapi.Digest {
	digest := rpcapi.Digest{
		From: model.Holder{VM: "entry-vm-001", Incarnation: benchIncarnation}, To: "entry-vm-002", DataCentre: "dc-1",
		Heard:    rpcapi.Acknowledgement{Incarnation: benchIncarnation, Sequence: 1_000_000},
		Sequence: 1_000_000, Ready: true, ConfigVersion: 5_600, Stamp: timeline.Stamp{Wall: benchIncarnation},
	}
	for n := range groups {
		digest.Groups = append(digest.Groups, rpcapi.GroupDigest{Group: fmt.Sprintf("dc-1/base-7b/%d", n), Epoch: 30, QueuedWork: 20 * time.Millisecond, ResidentVersion: 5_000})
	}
	return digest
}

var benchGroups = []int{0, 1, 9, 30}

func benchKey(b *testing.B) []byte {
	credentials, err := NewCredentials([]byte("a cluster secret for benchmarks"))
	if err != nil {
		b.Fatal(err)
	}
	return credentials.macKey
}

// BenchmarkEncodeHeartbeat measures the encoding of a digest including its MAC, and
// reports the number and the bytes of the datagrams.
func BenchmarkEncodeHeartbeat(b *testing.B) {
	key := benchKey(b)
	for _, groups := range benchGroups {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			digest, size, count := benchDigest(groups), 0, 0
			b.ReportAllocs()
			for b.Loop() {
				datagrams, err := encodeDatagrams(key, digest, func() uint64 { return 1_000_000 })
				if err != nil {
					b.Fatal(err)
				}
				size, count = 0, len(datagrams)
				for _, datagram := range datagrams {
					size += len(datagram)
				}
			}
			b.ReportMetric(float64(size), "udp_B")
			b.ReportMetric(float64(count), "datagrams")
		})
	}
}

// BenchmarkDecodeHeartbeat measures the verification of the MAC and the decoding of
// a datagram.
func BenchmarkDecodeHeartbeat(b *testing.B) {
	key := benchKey(b)
	for _, groups := range benchGroups {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			datagram, err := encodeDatagram(key, benchDigest(groups))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, refusal := decodeDatagram(key, datagram); refusal != accepted {
					b.Fatal(refusal)
				}
			}
		})
	}
}

// BenchmarkSendHeartbeat measures the sending of one heartbeat over loopback, while
// the same process receives the heartbeats.
func BenchmarkSendHeartbeat(b *testing.B) {
	credentials, err := NewCredentials([]byte("a cluster secret for benchmarks"))
	if err != nil {
		b.Fatal(err)
	}
	var heartbeats [2]*Heartbeats
	for i := range heartbeats {
		heartbeats[i], err = StartHeartbeats(HeartbeatSettings{
			Addr: "127.0.0.1:0", Self: model.Holder{VM: fmt.Sprintf("entry-vm-%03d", i), Incarnation: benchIncarnation},
			Credentials: credentials, Clock: timeline.NewClock(time.Now), HandleDigest: func(rpcapi.Digest) {},
		})
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = heartbeats[i].Close() }()
	}
	digest := benchDigest(1)
	b.ReportAllocs()
	for b.Loop() {
		if err := heartbeats[0].Send("entry-vm-001", heartbeats[1].Addr(), digest); err != nil {
			b.Fatal(err)
		}
	}
}

func benchResidentReply(adapters int) rpcapi.ResidentReply {
	reply := rpcapi.ResidentReply{Version: 5_000}
	for n := range adapters {
		reply.Adapters = append(reply.Adapters, model.AdapterVersion{Organisation: fmt.Sprintf("org-%02d", n%40), Adapter: fmt.Sprintf("shop-%06d", n), Version: "v1"})
	}
	return reply
}

// Resident is the net/rpc service of the benchmarks. It is exported because net/rpc
// requires exported types and methods.
type Resident struct{}

// Get returns a list of resident adapters. The name of the group is the number of
// adapters.
func (Resident) Get(request rpcapi.ResidentRequest, reply *rpcapi.ResidentReply) error {
	adapters := 0
	_, err := fmt.Sscan(request.Group, &adapters)
	*reply = benchResidentReply(adapters)
	return err
}

// Progress accepts progress reports and discards them.
func (Resident) Progress(rpcapi.ProgressRequest, *rpcapi.ProgressReply) error { return nil }

func benchServer(b *testing.B) *Server {
	credentials, err := NewCredentials([]byte("a cluster secret for benchmarks"))
	if err != nil {
		b.Fatal(err)
	}
	server, err := Listen("127.0.0.1:0", credentials, timeline.NewClock(time.Now))
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(server.Close)
	if err := server.Register("Resident", Resident{}); err != nil {
		b.Fatal(err)
	}
	server.Serve()
	return server
}

func benchClient(b *testing.B) *Client {
	credentials, err := NewCredentials([]byte("a cluster secret for benchmarks"))
	if err != nil {
		b.Fatal(err)
	}
	return NewClient(credentials, timeline.NewClock(time.Now), ClientSettings{CallTimeout: time.Minute, ProbeTimeout: time.Minute})
}

// residentCallBytes returns the size in bytes of a call that lists resident adapters.
func residentCallBytes(b *testing.B, adapters int) float64 {
	return callBytes(b, rpcapi.ResidentRequest{Group: fmt.Sprint(adapters)}, benchResidentReply(adapters))
}

// callBytes returns the size in bytes of a request and its reply with their headers
// on a connection on which the gob types are already defined, without the overhead of
// TLS records.
func callBytes(b *testing.B, request, reply any) float64 {
	size := 0
	for _, body := range []any{request, reply} {
		var buffer bytes.Buffer
		encoder := gob.NewEncoder(&buffer)
		for range 2 {
			buffer.Reset()
			for _, part := range []any{header{Method: "Owner.Progress", Seq: 1_000, Stamp: timeline.Stamp{Wall: benchIncarnation}}, body} {
				if err := encoder.Encode(part); err != nil {
					b.Fatal(err)
				}
			}
		}
		size += buffer.Len()
	}
	return float64(size)
}

// BenchmarkCall measures one call over loopback with TLS whose reply lists resident
// adapters. Client and server run in this process.
func BenchmarkCall(b *testing.B) {
	for _, adapters := range []int{0, 16, 64, 256} {
		b.Run(fmt.Sprintf("adapters=%d", adapters), func(b *testing.B) {
			server, client := benchServer(b), benchClient(b)
			defer client.Close()
			request := rpcapi.ResidentRequest{Group: fmt.Sprint(adapters)}
			b.ReportAllocs()
			for b.Loop() {
				var reply rpcapi.ResidentReply
				if err := client.Call(context.Background(), server.Addr(), "Resident.Get", request, &reply); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(residentCallBytes(b, adapters), "gob_B")
		})
	}
}

// BenchmarkProgressCall measures one call over loopback with TLS that sends progress
// reports, and reports the bytes of the call. Client and server run in this process.
func BenchmarkProgressCall(b *testing.B) {
	for _, reports := range []int{1, 3, 30} {
		b.Run(fmt.Sprintf("reports=%d", reports), func(b *testing.B) {
			server, client := benchServer(b), benchClient(b)
			defer client.Close()
			request := rpcapi.ProgressRequest{Group: "dc-1.runner.base-7b.0"}
			for n := range reports {
				request.Reports = append(request.Reports, core.Progress{
					ID: benchID, Target: fmt.Sprintf("runner-%04d", n), Tokens: 200, TokenGap: 39 * time.Millisecond,
					SilentFor: 20 * time.Millisecond, FirstToken: 300 * time.Millisecond,
				})
			}
			b.ReportAllocs()
			for b.Loop() {
				var reply rpcapi.ProgressReply
				if err := client.Call(context.Background(), server.Addr(), "Resident.Progress", request, &reply); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(callBytes(b, request, rpcapi.ProgressReply{}), "gob_B")
		})
	}
}

// BenchmarkPermitBytes reports the bytes of the two calls that acquire and release a
// permit. Its time is meaningless, because it includes defining the gob types.
func BenchmarkPermitBytes(b *testing.B) {
	for _, prefixes := range []int{0, 8, 32} {
		b.Run(fmt.Sprintf("prefixes=%d", prefixes), func(b *testing.B) {
			request := core.Request{
				ID: benchID, Organisation: "org-01", Adapter: benchResidentReply(1).Adapters[0], Kind: "chat", Class: model.ClassRunner, BaseModel: "base-7b",
				PromptTokens: 700, PredictedTokens: 270, Deadline: 10 * time.Second, Worth: 1, Repeatable: true, Holder: benchDigest(0).From,
			}
			for n := range prefixes {
				request.PrefixHashes = append(request.PrefixHashes, uint64(n+1)*0x9e3779b97f4a7c15)
			}
			target := model.Target{
				Name: "runner-0001", Class: model.ClassRunner, Address: "10.0.100.100:8000", DataCentre: "dc-1", Region: "region-1",
				BaseModel: "base-7b", Slots: 16, Concurrency: 32, ChecksFencing: true,
			}
			permit := core.Permit{Request: benchID, Group: "dc-1.runner.base-7b.0", Epoch: 30, Target: target, Adapter: request.Adapter, Organisation: "org-01", Kind: "chat"}
			release := core.PermitReleased{
				ID: benchID, Target: target.Name, Outcome: core.OutcomeDone, Usage: core.Usage{PromptTokens: 700, GeneratedTokens: 270},
				FirstToken: 300 * time.Millisecond, TokenGap: 39 * time.Millisecond, Organisation: "org-01", Kind: "chat",
			}
			size := 0.0
			for b.Loop() {
				size = callBytes(b, rpcapi.AcquireRequest{Group: permit.Group, Request: request}, rpcapi.AcquireReply{Permit: permit}) +
					callBytes(b, rpcapi.ReleaseRequest{Group: permit.Group, Epoch: 30, Release: release}, rpcapi.ReleaseReply{})
			}
			b.ReportMetric(size, "gob_B")
		})
	}
}

// BenchmarkConnections reports the heap and stack bytes that one idle connection
// takes, for both ends together.
func BenchmarkConnections(b *testing.B) {
	for _, count := range []int{8, 32, 128} {
		b.Run(fmt.Sprintf("connections=%d", count), func(b *testing.B) {
			for b.Loop() {
				server := benchServer(b)
				before := heapBytes()
				for range count {
					client := benchClient(b)
					defer client.Close()
					var reply rpcapi.ResidentReply
					if err := client.Call(context.Background(), server.Addr(), "Resident.Get", rpcapi.ResidentRequest{Group: "0"}, &reply); err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(heapBytes()-before)/float64(count), "heap_B/connection")
			}
		})
	}
}

// heapBytes returns the bytes of heap and stack in use after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
