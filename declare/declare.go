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

// Defaults of values that are not declared.
const (
	DefaultLoadRate = 1.0             // loads/s
	DefaultShare    = 1.0             // relative weight
	DefaultWorth    = 1.0             // relative
	DefaultDeadline = 1 * time.Minute // after arrival
)

// Declaration collects the declared configuration. It is used by one goroutine.
type Declaration struct {
	document      config.Document
	organisations []*Organisation
}

// New returns a declaration with the base models that adapters may belong to.
func New(baseModels ...string) *Declaration {
	return &Declaration{document: config.Document{BaseModels: baseModels, LoadRate: DefaultLoadRate}}
}

// LoadRate sets how many loads per second the weights store gives.
func (d *Declaration) LoadRate(perSecond float64) *Declaration {
	d.document.LoadRate = perSecond
	return d
}

// Retention sets how long at-most-once claims are kept. The default is 24 h.
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

// GroupsPerPool sets into how many groups, each with one owner, the targets of
// one data centre and one base model or application are split. The default is
// 1; a group should stay below about 16 targets. Changing it moves targets to
// other owners, so drain the pool's targets first.
func (d *Declaration) GroupsPerPool(groups int) *Declaration {
	d.document.GroupsPerPool = groups
	return d
}

// HashToken returns the credential hash of a bearer token: its SHA-256 in
// hexadecimal digits. Only the hash becomes part of the configuration.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Organisation is a declared customer.
type Organisation struct {
	organisation config.Organisation
	adapters     []config.Adapter
	kinds        []*Kind
}

// Organisation declares a customer by name and credential hash (HashToken).
func (d *Declaration) Organisation(name, credentialHash string) *Organisation {
	o := &Organisation{organisation: config.Organisation{
		Name: name, CredentialSHA256: credentialHash, Share: DefaultShare,
	}}
	d.organisations = append(d.organisations, o)
	return o
}

// Share sets the relative weight of the organisation's claim to capacity.
func (o *Organisation) Share(weight float64) *Organisation {
	o.organisation.Share = weight
	return o
}

// Adapter declares an adapter with its versions.
func (o *Organisation) Adapter(name, baseModel string, versions ...string) *Organisation {
	o.adapters = append(o.adapters, config.Adapter{
		Organisation: o.organisation.Name, Name: name, BaseModel: baseModel, Versions: versions,
	})
	return o
}

// Kind is a declared kind of request.
type Kind struct{ kind config.Kind }

// Kind declares a kind of inference request. It may be repeated, has
// DefaultWorth and DefaultDeadline until other values are set.
func (o *Organisation) Kind(name string) *Kind {
	k := &Kind{config.Kind{
		Organisation: o.organisation.Name, Name: name,
		Worth: DefaultWorth, Deadline: config.Duration(DefaultDeadline),
	}}
	o.kinds = append(o.kinds, k)
	return k
}

// Service makes the kind a call of a plain service's application.
func (k *Kind) Service(application string) *Kind {
	k.kind.Application = application
	return k
}

// AtMostOnce says that a request of the kind must not run twice.
func (k *Kind) AtMostOnce() *Kind {
	k.kind.AtMostOnce = true
	return k
}

// Worth sets the relative value of one complete answer in time.
func (k *Kind) Worth(worth float64) *Kind {
	k.kind.Worth = worth
	return k
}

// Within sets the time after arrival at which the whole answer is due.
func (k *Kind) Within(deadline time.Duration) *Kind {
	k.kind.Deadline = config.Duration(deadline)
	return k
}

// Write writes the declaration as a YAML document. An invalid one is an error
// with one detail per fault, and nothing is written.
func (d *Declaration) Write(w io.Writer) error {
	document := d.collect()
	if err := document.Validate(); err != nil {
		return err
	}
	data, err := document.EncodeYAML()
	if err != nil {
		return err
	}
	if _, err := w.Write(data); err != nil {
		return errs.Wrap(err, errs.Internal, "the document cannot be written")
	}
	return nil
}

func (d *Declaration) collect() *config.Document {
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

// Print writes the declaration to standard output. It is the last call of a
// declaring program: a failure is printed to standard error and ends the
// process with exit code 3.
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
