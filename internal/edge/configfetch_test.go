package edge

import (
	"bytes"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"cicadaslip/internal/grouprpc"
	"cicadaslip/internal/objectstore"
)

// Guards against a large configuration in the replies of all owners to a VM's sync calls: on a
// slow link these copies outlasted the calls' time limit, and again with each repeat.
func TestLargeConfigurationIsLeftOutOfSyncReplies(t *testing.T) {
	g := gomega.NewWithT(t)
	var cache configCache
	value := []byte(strings.Repeat(`{"name":"route","timeout_ms":1000}`, 1000))
	cache.set(value, 1, 7)
	cache.advance(0, 9)
	update := cache.updateSince(5, 0)
	deferConfig(&update)
	g.Expect(update).To(gomega.Equal(grouprpc.ConfigUpdate{Since: 5, AsOf: 9, Revision: 7, Deferred: true}))
	small := grouprpc.ConfigUpdate{Value: []byte("{}")}
	deferConfig(&small)
	g.Expect(small.Deferred).To(gomega.BeFalse())
	for range 2 { // compressed, and from memory
		reply, err := cache.deflatedSince(5, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(len(reply.Deflated)).To(gomega.BeNumerically("<", len(value)/4))
		g.Expect(reply.Update).To(gomega.Equal(grouprpc.ConfigUpdate{Since: 5, AsOf: 9, Revision: 7}))
		got, err := inflate(reply.Deflated)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(got).To(gomega.Equal(value))
	}
	cache.set([]byte("{}"), 2, 8)
	reply, err := cache.deflatedSince(5, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	got, err := inflate(reply.Deflated)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal([]byte("{}")), "an older compressed value was used")
	reply, err = cache.deflatedSince(8, 2)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(reply.Deflated).To(gomega.BeEmpty())
}

// Guards against a message of another VM that grows without bound, or is not compressed data.
func TestDecompressionIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	bomb, err := deflate(bytes.Repeat([]byte{0}, 64*objectstore.MaxValueBytes))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = inflate(bomb)
	g.Expect(err).To(gomega.HaveOccurred())
	_, err = inflate([]byte("no compressed data"))
	g.Expect(err).To(gomega.HaveOccurred())
}
