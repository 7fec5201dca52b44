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

// credentials finds an organisation by the hash of its bearer token. The index
// is rebuilt when the configuration changes.
type credentials struct {
	index atomic.Pointer[credentialIndex]
}

type credentialIndex struct {
	from   *model.Configuration
	byHash map[string]model.Organisation
}

func (c *credentials) current(cfg *model.Configuration) *credentialIndex {
	if found := c.index.Load(); found != nil && found.from == cfg {
		return found
	}
	built := &credentialIndex{from: cfg, byHash: make(map[string]model.Organisation, len(cfg.Organisations))}
	for _, org := range cfg.Organisations {
		built.byHash[strings.ToLower(org.CredentialHash)] = org
	}
	c.index.Store(built)
	return built
}

// authenticate returns the organisation of an Authorization header. The token
// is hashed before any comparison, so that the time of the look-up tells
// nothing about a stored credential; the final comparison is constant in time.
func (c *credentials) authenticate(cfg *model.Configuration, header string) (string, *errs.Error) {
	denied := errs.NotRun(errs.Unauthenticated, "a valid bearer credential is required")
	token, found := strings.CutPrefix(header, bearerPrefix)
	if !found || token == "" {
		return "", denied
	}
	sum := sha256.Sum256([]byte(token))
	text := hex.EncodeToString(sum[:])
	org, found := c.current(cfg).byHash[text]
	if !found || subtle.ConstantTimeCompare([]byte(text), []byte(strings.ToLower(org.CredentialHash))) != 1 {
		return "", denied
	}
	return org.Name, nil
}
