package frontend

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"
	"sync/atomic"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
)

const bearerPrefix = "Bearer "

// credentials maps hashes of bearer tokens to organisations. The index is rebuilt
// when the configuration changes.
type credentials struct {
	index atomic.Pointer[credentialIndex]
}

// credentialIndex holds the organisations of one configuration.
type credentialIndex struct {
	source *model.Configuration
	byHash map[string]model.Organisation // keyed by SHA-256 in lower-case hex
}

// indexFor returns the index of a configuration and builds it if necessary.
func (c *credentials) indexFor(cfg *model.Configuration) *credentialIndex {
	if cached := c.index.Load(); cached != nil && cached.source == cfg {
		return cached
	}
	rebuilt := &credentialIndex{source: cfg, byHash: make(map[string]model.Organisation, len(cfg.Organisations))}
	for _, org := range cfg.Organisations {
		rebuilt.byHash[strings.ToLower(org.CredentialHash)] = org
	}
	c.index.Store(rebuilt)
	return rebuilt
}

// authenticate returns the name of the organisation that an Authorization header
// belongs to. The token is hashed before any comparison, so that the duration of
// the look-up reveals nothing about a stored credential. The final comparison
// takes constant time.
func (c *credentials) authenticate(cfg *model.Configuration, header string) (string, *errs.Error) {
	denied := errs.NotRun(errs.Unauthenticated, "a valid bearer credential is required")
	token, found := strings.CutPrefix(header, bearerPrefix)
	if !found || token == "" {
		return "", denied
	}
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	org, found := c.indexFor(cfg).byHash[hash]
	if !found || subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(org.CredentialHash))) != 1 {
		return "", denied
	}
	return org.Name, nil
}
