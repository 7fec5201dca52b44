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
	Short: "Reconstruct the history of a request from logs",
	Long: "Reads logs of one or more VMs and prints the events of a request in causal order, together with the view that " +
		"the involved VMs had of the system at the time. Only a sample of the requests that succeeded in time is logged.",
	New: func(c *Context) flags.Commander { return &explainCmd{context: c} },
}

type explainCmd struct {
	context *Context
	Since   string `long:"since" value-name:"TIME" description:"omit earlier lines, RFC 3339"`
	Until   string `long:"until" value-name:"TIME" description:"omit later lines, RFC 3339"`
	Args    struct {
		ID    string   `positional-arg-name:"ID" description:"X-Request-Id of the request"`
		Files []string `positional-arg-name:"FILE" description:"log files; - is standard input" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (e *explainCmd) Execute([]string) error {
	var window explain.Window
	for _, bound := range []struct {
		text string
		dest *time.Time
	}{{e.Since, &window.Since}, {e.Until, &window.Until}} {
		if bound.text == "" {
			continue
		}
		parsed, err := time.Parse(time.RFC3339, bound.text)
		if err != nil {
			return errs.Wrap(err, errs.InvalidRequest, "time "+bound.text+" is not in RFC 3339 format")
		}
		*bound.dest = parsed
	}
	var lines []explain.Line
	for _, name := range e.Args.Files {
		logLines, err := e.readLog(name, window)
		if err != nil {
			return err
		}
		lines = append(lines, logLines...)
	}
	report, err := explain.BuildReport(e.Args.ID, lines)
	if err != nil {
		return err
	}
	return e.context.Print(report, func(w io.Writer) error { return explain.Write(w, report) })
}

// readLog reads the lines of the named log within the window; "-" is standard
// input.
func (e *explainCmd) readLog(name string, window explain.Window) ([]explain.Line, error) {
	if name == "-" {
		return explain.Read(e.context.In, window)
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidRequest, "failed to open the log "+name)
	}
	defer func() { _ = f.Close() }()
	return explain.Read(f, window)
}
