package cli

import (
	"context"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/account"
	"cicadaslip/internal/admin"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/timeline"
)

var timelineCommand = Registration{
	Name: "timeline", Short: "Show the events of all daemons in causal order",
	Long: "Collects the events of the daemons, merges them and lists the daemons that did not answer.",
	New:  func(c *Context) flags.Commander { return &timelineCmd{c: c} },
}

type timelineCmd struct {
	DaemonOptions
	Request      string        `long:"request" description:"only events of this request and its attempts"`
	Target       string        `long:"target" description:"only events of this target"`
	Organisation string        `long:"organisation" description:"only events of this organisation"`
	Group        string        `long:"group" description:"only events of this target group"`
	Last         time.Duration `long:"last" description:"only events of this last period, with unit"`
	Limit        int           `long:"limit" default:"1000" description:"maximum number of events of each daemon; the newest are shown"`
	c            *Context
}

// Execute implements flags.Commander.
func (t *timelineCmd) Execute([]string) error {
	filter := timeline.Filter{
		Request: model.RequestID(t.Request), Target: t.Target, Organisation: t.Organisation, Group: t.Group, Limit: t.Limit,
	}
	if t.Last > 0 {
		filter.From = time.Now().Add(-t.Last)
	}
	return t.c.withDaemons(t.DaemonOptions, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		merged := daemons.Timeline(ctx, filter)
		write := func(w io.Writer) error { return writeTimeline(w, merged) }
		return t.c.printPartial(merged, write, missingDaemons{merged.NoAnswer})
	})
}

// eventTimeFormat shows the time of day with microseconds.
const eventTimeFormat = "15:04:05.000000"

func writeTimeline(w io.Writer, merged timeline.Merged) error {
	return writeTable(w, "TIME\tVM\tEVENT\tREQUEST\tORGANISATION\tTARGET\tGROUP\tEPOCH\tDETAIL", func(addRow func(string, ...any)) {
		for _, e := range merged.Events {
			addRow("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s", time.Unix(0, e.Stamp.Wall).UTC().Format(eventTimeFormat), e.VM, e.Kind,
				e.Request, e.Organisation, e.Target, e.Group, e.Epoch, e.Detail)
		}
		if merged.Omitted > 0 || merged.Overwritten > 0 {
			addRow("(%d events omitted because of the limit, %d overwritten)", merged.Omitted, merged.Overwritten)
		}
	})
}

var usageCommand = Registration{
	Name: "usage", Short: "Show the usage account: what organisations used and what targets gave",
	Long: "Reconciles the counters in the store with those of the daemons and shows every difference.",
	New:  func(c *Context) flags.Commander { return &usageCmd{c: c} },
}

type usageCmd struct {
	DaemonOptions
	c *Context
}

// Execute implements flags.Commander.
func (u *usageCmd) Execute([]string) error {
	return u.c.withDaemons(u.DaemonOptions, func(ctx context.Context, daemons *admin.Client, store objectstore.Store) error {
		stored, err := storedUsage(ctx, store)
		if err != nil {
			return err
		}
		report := daemons.Usage(ctx, stored)
		write := func(w io.Writer) error { return writeUsage(w, report) }
		return u.c.printPartial(report, write, missingDaemons{report.NoAnswer})
	})
}

// storedUsage reads the usage counters of all process incarnations from the store.
func storedUsage(ctx context.Context, store objectstore.Store) ([]account.Document, error) {
	objects, revision, err := objectstore.ListAll(ctx, store, account.Prefix, 0)
	if err != nil {
		return nil, err
	}
	var documents []account.Document
	for _, object := range objects {
		document, err := account.Parse(object.Value)
		if err != nil {
			return nil, err
		}
		documents = append(documents, document)
	}
	return withRollups(ctx, store, documents, revision)
}

// withRollups appends the counters of process incarnations whose documents have
// been merged into rollups. It reads a state of at least minRevision.
func withRollups(ctx context.Context, store objectstore.Store, documents []account.Document, minRevision int64) ([]account.Document, error) {
	objects, _, err := objectstore.ListAll(ctx, store, account.RollupPrefix, minRevision)
	if err != nil {
		return nil, err
	}
	for _, object := range objects {
		rollup, err := account.ParseRollup(object.Value)
		if err != nil {
			return nil, err
		}
		documents = append(documents, rollup.Documents()...)
	}
	return documents, nil
}

func writeUsage(w io.Writer, report account.Report) error {
	err := writeTable(w, "ORGANISATION\tSIDE\tREQUESTS\tPROMPT TOKENS\tGENERATED TOKENS\tDIFFERENCES\tSETTLING", func(addRow func(string, ...any)) {
		for _, o := range report.Organisations {
			addRow("%s\tused\t%s\t%d\t%d\t%d\t%d", o.Organisation, formatOutcomes(o.Used), o.Used.PromptTokens, o.Used.GeneratedTokens, len(o.Differences), o.Settling)
			addRow("\tgiven\t%s\t%d\t%d\t\t", formatOutcomes(o.Given), o.Given.PromptTokens, o.Given.GeneratedTokens)
			for _, d := range o.Differences {
				addRow("\tdifference\t%s\tused %d given %d\tused %d given %d\t\t", d.Request, d.Used.PromptTokens, d.Given.PromptTokens,
					d.Used.GeneratedTokens, d.Given.GeneratedTokens)
			}
		}
	})
	if err != nil {
		return err
	}
	for _, process := range report.Unclean {
		if _, err := fmt.Fprintf(w, "%s (incarnation %d) ended without its last records\n", process.VM, process.Incarnation); err != nil {
			return err
		}
	}
	return nil
}

// formatOutcomes returns the number of requests by outcome, sorted by outcome.
func formatOutcomes(totals account.Totals) string {
	names := make([]string, 0, len(totals.Requests))
	for outcome := range totals.Requests {
		names = append(names, string(outcome))
	}
	sort.Strings(names)
	text := ""
	for _, name := range names {
		for outcome, count := range totals.Requests {
			if string(outcome) == name {
				text += fmt.Sprintf("%d %s ", count, name)
			}
		}
	}
	return text
}
