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

// MinSecretBytes is the shortest cluster secret that is accepted.
const MinSecretBytes = 16

// Labels separate the keys that are derived from the cluster secret.
const (
	labelTLS      = "cicadaslip peer tls v1"
	labelDatagram = "cicadaslip peer datagram v1"
	macKeyBytes   = 32
)

// Credentials hold the keys that are derived from the cluster secret.
type Credentials struct {
	certificate tls.Certificate
	public      ed25519.PublicKey
	macKey      []byte
}

// NewCredentials derives the keys. It fails with errs.InvalidSettings if the
// secret is too short.
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
	private := ed25519.NewKeyFromSeed(seed)
	public := private.Public().(ed25519.PublicKey)
	der, err := selfSigned(private, public)
	if err != nil {
		return nil, err
	}
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}
	return &Credentials{certificate: certificate, public: public, macKey: macKey}, nil
}

// selfSigned returns a certificate without an expiry that matters: peers
// compare only the key, so a wrong clock must not separate them.
func selfSigned(private ed25519.PrivateKey, public ed25519.PublicKey) ([]byte, error) {
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: "cicadaslip"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(9999, time.December, 31, 0, 0, 0, 0, time.UTC),
	}
	der, err := x509.CreateCertificate(nil, template, template, public, private)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "create the peer certificate")
	}
	return der, nil
}

// config returns the TLS settings of both roles. Chain verification is replaced
// by the comparison of the key, which the handshake proves the peer to hold.
func (c *Credentials) config() *tls.Config {
	return &tls.Config{
		Certificates:           []tls.Certificate{c.certificate},
		ClientAuth:             tls.RequireAnyClientCert,
		InsecureSkipVerify:     true,
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true,
		VerifyConnection:       c.verify,
	}
}

func (c *Credentials) verify(state tls.ConnectionState) error {
	if len(state.PeerCertificates) != 1 {
		return errs.New(errs.Unauthenticated, "the peer sent no single certificate")
	}
	key, ok := state.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	if !ok || subtle.ConstantTimeCompare(key, c.public) != 1 {
		return errs.New(errs.Unauthenticated, "the peer holds another key")
	}
	return nil
}
