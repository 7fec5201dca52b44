package declare

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"time"

	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
)

// Defaults for values that are not declared.
const (
	DefaultLoadRate = 1.0             // loads/s
	DefaultShare    = 1.0             // relative weight of an organisation
	DefaultWorth    = 1.0             // relative value of one complete answer
	DefaultDeadline = 1 * time.Minute // after arrival
)

// Declaration collects the declared configuration. It is not safe for concurrent
// use.
type Declaration struct {
	document      config.Document
	organisations []*Organisation
}

// New returns a declaration with the names of the base models that adapters may use.
func New(baseModels ...string) *Declaration {
	return &Declaration{document: config.Document{BaseModels: baseModels, LoadRate: DefaultLoadRate}}
}

// LoadRate sets how many adapter loads per second the weights store can serve.
func (d *Declaration) LoadRate(loadsPerSecond float64) *Declaration {
	d.document.LoadRate = loadsPerSecond
	return d
}

// Retention sets how long at-most-once claims are retained. The default is 24 h.
func (d *Declaration) Retention(period time.Duration) *Declaration {
	d.document.Retention = config.Duration(period)
	return d
}

// JournalShards sets the number of shards of the at-most-once journal. The
// default is 8. It cannot change once a configuration has been accepted.
func (d *Declaration) JournalShards(shards int) *Declaration {
	d.document.JournalShards = shards
	return d
}

// GroupsPerPool sets the number of groups of a pool. A pool consists of the targets
// of one data centre and one base model or application; each of its groups has one
// owner. The default is 1; a group should stay below about 16 targets. A change of
// the number moves targets to other owners, so drain the targets of the pool first.
func (d *Declaration) GroupsPerPool(groups int) *Declaration {
	d.document.GroupsPerPool = groups
	return d
}

// HashToken returns the credential hash of a bearer token: its SHA-256 in
// hexadecimal digits. Only the hash becomes part of the configuration.
func HashToken(token string) string {
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:])
}

// Organisation is a declared customer with its adapters and kinds of requests.
type Organisation struct {
	organisation config.Organisation
	adapters     []config.Adapter
	kinds        []*Kind
}

// Organisation declares an organisation by its name and credential hash, which
// HashToken returns.
func (d *Declaration) Organisation(name, credentialHash string) *Organisation {
	o := &Organisation{organisation: config.Organisation{
		Name: name, CredentialSHA256: credentialHash, Share: DefaultShare,
	}}
	d.organisations = append(d.organisations, o)
	return o
}

// Share sets the relative weight with which the organisation shares capacity. The
// default is DefaultShare.
func (o *Organisation) Share(weight float64) *Organisation {
	o.organisation.Share = weight
	return o
}

// Adapter declares an adapter of the organisation with its base model and versions.
func (o *Organisation) Adapter(name, baseModel string, versions ...string) *Organisation {
	o.adapters = append(o.adapters, config.Adapter{
		Organisation: o.organisation.Name, Name: name, BaseModel: baseModel, Versions: versions,
	})
	return o
}

// Kind is a declared kind of requests.
type Kind struct{ kind config.Kind }

// Kind declares a kind of inference requests. Until other values are set, its
// requests may be repeated and have DefaultWorth and DefaultDeadline.
func (o *Organisation) Kind(name string) *Kind {
	k := &Kind{config.Kind{
		Organisation: o.organisation.Name, Name: name,
		Worth: DefaultWorth, Deadline: config.Duration(DefaultDeadline),
	}}
	o.kinds = append(o.kinds, k)
	return k
}

// Service makes requests of the kind calls of the named application, which a plain
// service runs, instead of inference requests.
func (k *Kind) Service(application string) *Kind {
	k.kind.Application = application
	return k
}

// AtMostOnce declares that a request of the kind must not run more than once.
func (k *Kind) AtMostOnce() *Kind {
	k.kind.AtMostOnce = true
	return k
}

// Worth sets the relative value of one complete answer that meets the deadline.
func (k *Kind) Worth(worth float64) *Kind {
	k.kind.Worth = worth
	return k
}

// Within sets the deadline for the complete answer, relative to the arrival of the
// request.
func (k *Kind) Within(deadline time.Duration) *Kind {
	k.kind.Deadline = config.Duration(deadline)
	return k
}

// Write writes the declaration as a YAML document. If the declaration is invalid, it
// writes nothing and returns an error with one detail per fault.
func (d *Declaration) Write(w io.Writer) error {
	document := d.buildDocument()
	if err := document.Validate(); err != nil {
		return err
	}
	data, err := document.EncodeYAML()
	if err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return errs.Wrap(err, errs.Internal, "writing the document failed")
	}
	return nil
}

// buildDocument returns the normalised configuration document of the declaration.
func (d *Declaration) buildDocument() *config.Document {
	document := d.document
	for _, o := range d.organisations {
		document.Organisations = append(document.Organisations, o.organisation)
		document.Adapters = append(document.Adapters, o.adapters...)
		for _, k := range o.kinds {
			document.Kinds = append(document.Kinds, k.kind)
		}
	}
	return document.Normalised()
}

// exitInvalid is the exit code of Print for an invalid declaration, the same
// as that of "cicadaslip check".
const exitInvalid = 3

// Print writes the declaration to standard output as a YAML document. It is meant as
// the last call of a program that declares a configuration: on failure it prints the
// error to standard error and ends the process with exit code 3.
func Print(d *Declaration) {
	err := d.Write(os.Stdout)
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, err)
	for _, detail := range errs.As(err).Details {
		fmt.Fprintln(os.Stderr, "  "+detail)
	}
	os.Exit(exitInvalid)
}
