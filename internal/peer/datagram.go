package peer

import (
	"bytes"
	"crypto/hmac"
	"crypto/sha256"

	"github.com/vmihailenco/msgpack/v5"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/rpcapi"
)

// Limits of a datagram, which consists of an HMAC-SHA256 followed by the digest in
// msgpack.
const (
	// MaxDatagramBytes keeps a datagram within the smallest MTU of IPv6 (1280
	// bytes), so that the loss of a fragment cannot lose a whole heartbeat.
	MaxDatagramBytes = 1200
	macBytes         = sha256.Size
	// maxGroupsPerDatagram is greater than the number of groups that fit into a
	// datagram, because an encoded group takes at least 5 bytes.
	maxGroupsPerDatagram = MaxDatagramBytes / 5
	maxNameBytes         = 255
)

// payload is the msgpack content of a datagram. The groups are encoded separately
// from the digest, so that their number is checked before memory is allocated for
// them.
type payload struct {
	Digest rpcapi.Digest // without Groups
	Groups boundedGroups
}

// boundedGroups is a list of groups whose decoder refuses more than
// maxGroupsPerDatagram.
type boundedGroups []rpcapi.GroupDigest

// DecodeMsgpack implements msgpack.CustomDecoder.
func (g *boundedGroups) DecodeMsgpack(decoder *msgpack.Decoder) error {
	n, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if n > maxGroupsPerDatagram {
		return errs.New(errs.TooLarge, "datagram lists more than 240 groups")
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

// encodeDatagrams encodes the digest into as many datagrams as its groups need.
// Each datagram has its own sequence number and can be decoded without the other
// datagrams of the digest.
func encodeDatagrams(key []byte, digest rpcapi.Digest, nextSequence func() uint64) ([][]byte, error) {
	whole := digest
	whole.Sequence = nextSequence()
	datagram, err := encodeDatagram(key, whole)
	if err != nil {
		return nil, err
	}
	if len(datagram) <= MaxDatagramBytes {
		return [][]byte{datagram}, nil
	}
	half := len(digest.Groups) / 2
	if half == 0 {
		return nil, errs.New(errs.TooLarge, "digest with at most one group exceeds the 1200 bytes of a datagram")
	}
	first, second := digest, digest
	first.Groups, second.Groups = digest.Groups[:half], digest.Groups[half:]
	firstDatagrams, err := encodeDatagrams(key, first, nextSequence)
	if err != nil {
		return nil, err
	}
	secondDatagrams, err := encodeDatagrams(key, second, nextSequence)
	return append(firstDatagrams, secondDatagrams...), err
}

// encodeDatagram encodes the digest into one datagram, which may exceed
// MaxDatagramBytes.
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
	copy(datagram, computeMAC(key, datagram[macBytes:]))
	return datagram, nil
}

// decodeDatagram returns the digest of an authentic datagram and accepted, or the
// reason why the datagram is refused.
func decodeDatagram(key, datagram []byte) (rpcapi.Digest, Refusal) {
	if len(datagram) > MaxDatagramBytes {
		return rpcapi.Digest{}, RefusedTooLarge
	}
	if len(datagram) <= macBytes || !hmac.Equal(datagram[:macBytes], computeMAC(key, datagram[macBytes:])) {
		return rpcapi.Digest{}, RefusedInvalidMAC
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

func computeMAC(key, content []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(content)
	return h.Sum(nil)
}
