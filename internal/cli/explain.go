package cli

import (
	"io"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/explain"
)

var explainCommand = Registration{
	Name:  "explain",
	Short: "Tell the story of a request from logs",
	Long: "Reads logs of one or more VMs and prints what they tell of a request, in causal order, with what the VMs involved " +
		"believed meanwhile. Requests that succeeded in time are only sampled.",
	New: func(c *Context) flags.Commander { return &explainer{context: c} },
}

type explainer struct {
	context *Context
	Since   string `long:"since" value-name:"TIME" description:"leave out earlier lines, RFC 3339"`
	Until   string `long:"until" value-name:"TIME" description:"leave out later lines, RFC 3339"`
	Args    struct {
		ID    string   `positional-arg-name:"ID" description:"X-Request-Id of the request"`
		Files []string `positional-arg-name:"FILE" description:"logs; - is standard input" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (e *explainer) Execute([]string) error {
	var window explain.Window
	for _, end := range []struct {
		text string
		into *time.Time
	}{{e.Since, &window.Since}, {e.Until, &window.Until}} {
		if end.text == "" {
			continue
		}
		parsed, err := time.Parse(time.RFC3339, end.text)
		if err != nil {
			return errs.Wrap(err, errs.InvalidRequest, "the time "+end.text+" is not RFC 3339")
		}
		*end.into = parsed
	}
	var lines []explain.Line
	for _, name := range e.Args.Files {
		read, err := e.read(name, window)
		if err != nil {
			return err
		}
		lines = append(lines, read...)
	}
	report, err := explain.BuildReport(e.Args.ID, lines)
	if err != nil {
		return err
	}
	return e.context.Print(report, func(w io.Writer) error { return explain.Write(w, report) })
}

func (e *explainer) read(name string, window explain.Window) ([]explain.Line, error) {
	if name == "-" {
		return explain.Read(e.context.In, window)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidRequest, "open the log "+name)
	}
	defer func() { _ = f.Close() }()
	return explain.Read(f, window)
}
