package peer

import (
	"fmt"
	"math"
	"net"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

// startHeartbeats starts heartbeats on loopback and returns them with a channel of
// the accepted digests.
func startHeartbeats(t *testing.T, vm string) (*Heartbeats, chan rpcapi.Digest) {
	digests := make(chan rpcapi.Digest, 64)
	h, err := StartHeartbeats(HeartbeatSettings{
		Addr: "127.0.0.1:0", Self: model.Holder{VM: vm, Incarnation: 7},
		Credentials: testCredentials(t, "one"), Clock: timeline.NewClock(time.Now),
		HandleDigest: func(d rpcapi.Digest) { digests <- d },
	})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = h.Close() })
	return h, digests
}

func testGroups(n int) []rpcapi.GroupDigest {
	groups := make([]rpcapi.GroupDigest, n)
	for i := range groups {
		groups[i] = rpcapi.GroupDigest{
			Group: fmt.Sprintf("riga-runner-%d", i), Epoch: model.Epoch(i),
			QueuedWork: time.Duration(i) * time.Millisecond, ResidentVersion: math.MaxUint64,
		}
	}
	return groups
}

// Guards against digest fields that are lost on the wire, groups that are lost when
// a digest is split into several datagrams, and acknowledgements that do not name
// the last heartbeat received.
func TestHeartbeatsDeliverDigestsAndAcknowledgements(t *testing.T) {
	g := gomega.NewWithT(t)
	a, receivedByA := startHeartbeats(t, "a")
	b, receivedByB := startHeartbeats(t, "b")
	groups := testGroups(100)
	g.Expect(a.Send("b", b.Addr(), rpcapi.Digest{DataCentre: "riga", ConfigVersion: 3, Groups: groups})).To(gomega.Succeed())
	var got []rpcapi.GroupDigest
	var last rpcapi.Digest
	for len(got) < len(groups) {
		g.Eventually(receivedByB).Should(gomega.Receive(&last))
		g.Expect(last.From).To(gomega.Equal(model.Holder{VM: "a", Incarnation: 7}))
		g.Expect(last.DataCentre).To(gomega.Equal("riga"))
		got = append(got, last.Groups...)
	}
	g.Expect(got).To(gomega.Equal(groups))
	g.Expect(a.Stats().Sent).To(gomega.BeNumerically(">", 1))
	g.Expect(b.Send("a", a.Addr(), rpcapi.Digest{})).To(gomega.Succeed())
	var answer rpcapi.Digest
	g.Eventually(receivedByA).Should(gomega.Receive(&answer))
	g.Expect(answer.Heard).To(gomega.Equal(rpcapi.Acknowledgement{Incarnation: 7, Sequence: last.Sequence}))
}

// Guards against unauthentic, misaddressed or replayed datagrams that are accepted,
// and against refused datagrams that are not counted.
func TestRefusedHeartbeatsAreCountedByReason(t *testing.T) {
	g := gomega.NewWithT(t)
	a, digests := startHeartbeats(t, "a")
	conn, err := net.Dial("udp", a.Addr())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = conn.Close() }()
	key := testCredentials(t, "one").macKey
	encoded := func(from, to string, incarnation, sequence uint64) []byte {
		datagram, err := encodeDatagram(key, rpcapi.Digest{
			From: model.Holder{VM: from, Incarnation: model.Incarnation(incarnation)}, To: to, Sequence: sequence,
		})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return datagram
	}
	invalidContent := []byte{0xc1}
	for _, datagram := range [][]byte{
		make([]byte, MaxDatagramBytes+1), []byte("short"), append(computeMAC(key, invalidContent), invalidContent...),
		encoded("b", "c", 1, 1), encoded("a", "a", 1, 1), encoded("b", "a", 2, 5),
		encoded("b", "a", 2, 5), encoded("b", "a", 1, 9), encoded("b", "a", 2, 6),
	} {
		_, err := conn.Write(datagram)
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	for _, sequence := range []uint64{5, 6} {
		g.Eventually(digests).Should(gomega.Receive(gomega.HaveField("Sequence", sequence)))
	}
	stats := a.Stats()
	for _, reason := range RefusalReasons {
		g.Expect(stats.Refused).To(gomega.HaveKeyWithValue(reason, uint64(1)), string(reason))
	}
}

// Guards against memory that grows without limit with the number of senders.
func TestDigestFilterEvictsTheOldestSender(t *testing.T) {
	g := gomega.NewWithT(t)
	filter := newDigestFilter(model.Holder{VM: "a", Incarnation: 1})
	filter.maxSenders = 2
	digest := func(vm string, incarnation model.Incarnation) rpcapi.Digest {
		return rpcapi.Digest{From: model.Holder{VM: vm, Incarnation: 1}, To: "a", Sequence: 1, Heard: rpcapi.Acknowledgement{Incarnation: incarnation}}
	}
	for _, vm := range []string{"b", "c", "d"} {
		g.Expect(filter.admit(digest(vm, 1))).To(gomega.Equal(accepted))
	}
	g.Expect(filter.senders).To(gomega.HaveLen(2))
	g.Expect(filter.admit(digest("c", 1))).To(gomega.Equal(RefusedReplayedOrLate))
	g.Expect(filter.admit(digest("e", 9))).To(gomega.Equal(RefusedWrongReceiver))
}

// Guards against groups that are lost when a digest is split, and against datagrams
// that exceed MaxDatagramBytes and are therefore refused.
func TestSplitDatagramsContainEveryGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := gomega.NewWithT(t)
		groups := testGroups(rapid.IntRange(0, 300).Draw(t, "groups"))
		sequence := rapid.Uint64Range(0, 1<<40).Draw(t, "sequence")
		digest := rpcapi.Digest{From: model.Holder{VM: "a", Incarnation: 1}, To: "b", Groups: groups}
		datagrams, err := encodeDatagrams([]byte("key"), digest, func() uint64 { sequence++; return sequence })
		g.Expect(err).NotTo(gomega.HaveOccurred())
		var got []rpcapi.GroupDigest
		last := uint64(0)
		for _, datagram := range datagrams {
			part, refusal := decodeDatagram([]byte("key"), datagram)
			g.Expect(refusal).To(gomega.Equal(accepted))
			g.Expect(part.Sequence).To(gomega.BeNumerically(">", last))
			last, got = part.Sequence, append(got, part.Groups...)
		}
		g.Expect(got).To(gomega.HaveLen(len(groups)))
	})
}

// Guards against a datagram that makes the decoder panic or decodes to an invalid
// digest. The fuzzed content is decoded both without and with a valid MAC.
func FuzzDecodeDatagram(f *testing.F) {
	key := []byte("key")
	seed, err := encodeDatagram(key, rpcapi.Digest{From: model.Holder{VM: "a", Incarnation: 1}, To: "b", Groups: testGroups(3)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed[macBytes:])
	f.Add([]byte{0x92, 0x90, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, content []byte) {
		decodeDatagram(key, content)
		digest, refusal := decodeDatagram(key, append(computeMAC(key, content), content...))
		valid := digest.From.VM != "" && digest.To != "" && digest.From.Incarnation != 0
		if (refusal == accepted) != valid {
			t.Fatalf("refusal %q with digest %+v", refusal, digest)
		}
	})
}
