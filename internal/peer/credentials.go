package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/sha256"
	"crypto/subtle"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"cicadaslip/internal/errs"
)

// MinSecretBytes is the minimum length of the cluster secret.
const MinSecretBytes = 16

// Parameters of the key derivation. The labels are the HKDF info values, which
// make the derived keys independent of each other.
const (
	labelTLS      = "cicadaslip peer tls v1"
	labelDatagram = "cicadaslip peer datagram v1"
	macKeyBytes   = 32
)

// Credentials contain the keys that are derived from the cluster secret: an
// ed25519 key pair for TLS and an HMAC key for heartbeat datagrams.
type Credentials struct {
	certificate tls.Certificate
	publicKey   ed25519.PublicKey
	macKey      []byte
}

// NewCredentials derives the keys from the cluster secret. It fails with
// errs.InvalidSettings if the secret is shorter than MinSecretBytes.
func NewCredentials(secret []byte) (*Credentials, error) {
	if len(secret) < MinSecretBytes {
		return nil, errs.New(errs.InvalidSettings, "the cluster secret is shorter than 16 bytes")
	}
	seed, err := hkdf.Key(sha256.New, secret, nil, labelTLS, ed25519.SeedSize)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "derive the TLS key")
	}
	macKey, err := hkdf.Key(sha256.New, secret, nil, labelDatagram, macKeyBytes)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "derive the datagram key")
	}
	privateKey := ed25519.NewKeyFromSeed(seed)
	publicKey := privateKey.Public().(ed25519.PublicKey)
	der, err := selfSignedCertificate(privateKey, publicKey)
	if err != nil {
		return nil, err
	}
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: privateKey}
	return &Credentials{certificate: certificate, publicKey: publicKey, macKey: macKey}, nil
}

// selfSignedCertificate returns a DER-encoded certificate that is valid from 1970
// to 9999. Peers compare only the key, so a wrong clock must not make a
// certificate invalid.
func selfSignedCertificate(privateKey ed25519.PrivateKey, publicKey ed25519.PublicKey) ([]byte, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "cicadaslip"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, publicKey, privateKey)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "create the peer certificate")
	}
	return der, nil
}

// tlsConfig returns the TLS configuration of clients and servers. It replaces
// chain verification by a comparison of the public key; the handshake proves that
// the peer possesses the private key.
func (c *Credentials) tlsConfig() *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{c.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		VerifyConnection:       c.verifyPeerKey,
	}
}

// verifyPeerKey checks that the peer's only certificate carries the shared key.
func (c *Credentials) verifyPeerKey(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return errs.New(errs.Unauthenticated, "the peer did not send exactly one certificate")
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || subtle.ConstantTimeCompare(key, c.publicKey) != 1 {
		return errs.New(errs.Unauthenticated, "the key of the peer does not match the cluster secret")
	}
	return nil
}
