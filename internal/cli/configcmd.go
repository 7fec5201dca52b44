package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
)

// maxDocumentBytes is the maximum size of a document, in bytes. A YAML document
// with 200,000 adapters takes about 20 MB.
const maxDocumentBytes = 256 << 20

// ErrDiffers makes a command exit with ExitDiffers and without an error message.
var ErrDiffers = errs.New(errs.Conflict, "the documents differ")

var applyCommand = Registration{
	Name:  "apply",
	Short: "Make a document the accepted configuration",
	Long: "Publishes a configuration document if the accepted version is still the one given with --base. " +
		"diff and get print that version; 0 stands for no configuration yet. If another operator was first, nothing is " +
		"changed and the differences to the newer configuration are listed. The command prints the new version and a " +
		"revision at which get --min-revision sees it.",
	New: func(c *Context) flags.Commander { return &applyCmd{context: c} },
}

type applyCmd struct {
	context *Context
	File    string  `short:"f" long:"file" required:"true" value-name:"FILE" description:"document in YAML or JSON; - is standard input"`
	Base    *uint64 `long:"base" required:"true" value-name:"VERSION" description:"accepted version that the change is based on"`
}

func (a *applyCmd) Execute([]string) error {
	document, err := a.context.readDocument(a.File)
	if err != nil {
		return err
	}
	return a.context.WithStore(func(ctx context.Context, store objectstore.Store) error {
		result, err := config.Publish(ctx, store, document, *a.Base)
		if err != nil {
			return err
		}
		return a.context.Print(result, func(w io.Writer) error {
			if err := printDifferences(w, result.Differences); err != nil {
				return err
			}
			_, err := fmt.Fprintf(w, "accepted as version %d at revision %d\n", result.Version, result.Revision)
			return err
		})
	})
}

var diffCommand = Registration{
	Name:  "diff",
	Short: "Show what a document would change",
	Long: "Lists the differences between the accepted configuration and a document, and the accepted version " +
		"for apply --base. Exit code 8 means that there are differences.",
	New: func(c *Context) flags.Commander { return &diffCmd{context: c} },
}

type diffCmd struct {
	context *Context
	File    string `short:"f" long:"file" required:"true" value-name:"FILE" description:"document in YAML or JSON; - is standard input"`
}

type diffResult struct {
	Base        uint64              `json:"base"`
	Differences []config.Difference `json:"differences"`
}

func (d *diffCmd) Execute([]string) error {
	document, err := d.context.readDocument(d.File)
	if err != nil {
		return err
	}
	return d.context.WithStore(func(ctx context.Context, store objectstore.Store) error {
		result := diffResult{Differences: []config.Difference{}}
		var accepted *config.Document
		snapshot, err := config.Load(ctx, store, 0)
		switch {
		case err == nil:
			accepted, result.Base = snapshot.Document, snapshot.Version
		case !errs.Is(err, errs.NotFound):
			return err
		}
		result.Differences = append(result.Differences, config.Diff(accepted, document)...)
		err = d.context.Print(result, func(w io.Writer) error {
			if err := printDifferences(w, result.Differences); err != nil {
				return err
			}
			_, err := fmt.Fprintf(w, "%d differences to version %d\n", len(result.Differences), result.Base)
			return err
		})
		if err == nil && len(result.Differences) > 0 {
			return ErrDiffers
		}
		return err
	})
}

func printDifferences(w io.Writer, differences []config.Difference) error {
	for _, difference := range differences {
		if _, err := fmt.Fprintln(w, difference); err != nil {
			return err
		}
	}
	return nil
}

var getCommand = Registration{
	Name:  "get",
	Short: "Print the accepted configuration",
	Long: "Prints the accepted configuration as a document that apply accepts, with its version in the first line. " +
		"With -o json it is one object with version, revision and document.",
	New: func(c *Context) flags.Commander { return &getCmd{context: c} },
}

type getCmd struct {
	context     *Context
	MinRevision int64 `long:"min-revision" value-name:"REVISION" description:"refuse a state older than this revision, which apply prints"`
}

type getResult struct {
	Version  uint64           `json:"version"`
	Revision int64            `json:"revision"`
	Document *config.Document `json:"document"`
}

func (g *getCmd) Execute([]string) error {
	return g.context.WithStore(func(ctx context.Context, store objectstore.Store) error {
		snapshot, err := config.Load(ctx, store, g.MinRevision)
		if err != nil {
			return err
		}
		result := getResult{snapshot.Version, snapshot.Revision, snapshot.Document}
		return g.context.Print(result, func(w io.Writer) error {
			data, err := snapshot.Document.EncodeYAML()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(w, "# version %d\n%s", snapshot.Version, data)
			return err
		})
	})
}

// readDocument reads, decodes and validates the document in the named file; "-"
// is standard input.
func (c *Context) readDocument(name string) (*config.Document, error) {
	data, err := c.ReadFile(name)
	if err != nil {
		return nil, err
	}
	document, err := config.Decode(data)
	if err != nil {
		return nil, err
	}
	document = document.Normalised()
	return document, document.Validate()
}

// ReadFile returns the content of the named file, or of standard input for "-".
func (c *Context) ReadFile(name string) ([]byte, error) {
	input := c.In
	if name != "-" {
		file, err := os.Open(name)
		if err != nil {
			return nil, errs.Wrap(err, errs.InvalidConfig, "reading the document failed")
		}
		defer func() { _ = file.Close() }()
		input = file
	}
	data, err := io.ReadAll(io.LimitReader(input, maxDocumentBytes+1))
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidConfig, "reading the document failed")
	}
	if len(data) > maxDocumentBytes {
		return nil, errs.New(errs.TooLarge, "the document exceeds the maximum size of 256 MiB")
	}
	return data, nil
}
