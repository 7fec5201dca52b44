package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"

	"github.com/vmihailenco/msgpack/v5"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
)

// Bounds of a datagram: HMAC-SHA256 and then the digest in msgpack.
const (
	// MaxDatagramBytes keeps a datagram within the smallest MTU of IPv6 (1280
	// bytes), so that the loss of a fragment cannot lose a whole heartbeat.
	MaxDatagramBytes = 1200
	macBytes         = sha256.Size
	// maxGroupsPerDatagram is above what fits: a group takes at least five bytes.
	maxGroupsPerDatagram = MaxDatagramBytes / 5
	maxNameBytes         = 255
)

// payload is the content of a datagram. The groups are apart, because their
// number is checked before memory is allocated for them.
type payload struct {
	Digest rpcapi.Digest // without Groups
	Groups groupList
}

type groupList []rpcapi.GroupDigest

// DecodeMsgpack implements msgpack.CustomDecoder.
func (g *groupList) DecodeMsgpack(decoder *msgpack.Decoder) error {
	n, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxGroupsPerDatagram {
		return errs.New(errs.TooLarge, "too many groups in a datagram")
	}
	for range n {
		var group rpcapi.GroupDigest
		if err := decoder.Decode(&group); err != nil {
			return err
		}
		*g = append(*g, group)
	}
	return nil
}

// encodeDatagrams returns the digest in as many datagrams as its groups need.
// Each has its own sequence number and is complete in itself.
func encodeDatagrams(key []byte, digest rpcapi.Digest, next func() uint64) ([][]byte, error) {
	one := digest
	one.Sequence = next()
	datagram, err := encodeDatagram(key, one)
	if err != nil {
		return nil, err
	}
	if len(datagram) <= MaxDatagramBytes {
		return [][]byte{datagram}, nil
	}
	half := len(digest.Groups) / 2
	if half == 0 {
		return nil, errs.New(errs.TooLarge, "the names in the digest do not fit into a datagram")
	}
	first, second := digest, digest
	first.Groups, second.Groups = digest.Groups[:half], digest.Groups[half:]
	left, err := encodeDatagrams(key, first, next)
	if err != nil {
		return nil, err
	}
	right, err := encodeDatagrams(key, second, next)
	return append(left, right...), err
}

func encodeDatagram(key []byte, digest rpcapi.Digest) ([]byte, error) {
	content := payload{Digest: digest, Groups: digest.Groups}
	content.Digest.Groups = nil
	var buffer bytes.Buffer
	buffer.Write(make([]byte, macBytes))
	encoder := msgpack.NewEncoder(&buffer)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(&content); err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode a digest")
	}
	datagram := buffer.Bytes()
	copy(datagram, mac(key, datagram[macBytes:]))
	return datagram, nil
}

// decodeDatagram returns the digest of an authentic datagram, or the reason why
// it is refused.
func decodeDatagram(key, datagram []byte) (rpcapi.Digest, Refusal) {
	if len(datagram) > MaxDatagramBytes {
		return rpcapi.Digest{}, RefusedSize
	}
	if len(datagram) <= macBytes || !hmac.Equal(datagram[:macBytes], mac(key, datagram[macBytes:])) {
		return rpcapi.Digest{}, RefusedMAC
	}
	var content payload
	reader := bytes.NewReader(datagram[macBytes:])
	if err := msgpack.NewDecoder(reader).Decode(&content); err != nil || reader.Len() > 0 {
		return rpcapi.Digest{}, RefusedMalformed
	}
	digest := content.Digest
	digest.Groups = content.Groups
	if !validName(digest.From.VM) || !validName(digest.To) || digest.From.Incarnation == 0 {
		return rpcapi.Digest{}, RefusedMalformed
	}
	return digest, accepted
}

func validName(name string) bool { return name != "" && len(name) <= maxNameBytes }

func mac(key, content []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(content)
	return h.Sum(nil)
}
