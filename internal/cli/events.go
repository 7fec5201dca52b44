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
	Long: "Gathers the events of the daemons, merges them and lists the daemons that did not answer.",
	New:  func(c *Context) flags.Commander { return &timelineCmd{c: c} },
}

type timelineCmd struct {
	Daemons
	Request      string        `long:"request" description:"only events of this request and its attempts"`
	Target       string        `long:"target" description:"only events of this target"`
	Organisation string        `long:"organisation" description:"only events of this organisation"`
	Group        string        `long:"group" description:"only events of this target group"`
	Last         time.Duration `long:"last" description:"only events of the last period, with unit"`
	Limit        int           `long:"limit" default:"1000" description:"newest events of each daemon"`
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
	return t.c.withDaemons(t.Daemons, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		merged := daemons.Timeline(ctx, filter)
		write := func(w io.Writer) error { return writeTimeline(w, merged) }
		return t.c.printPartial(merged, write, silent{merged.NoAnswer})
	})
}

const eventTime = "15:04:05.000000"

func writeTimeline(w io.Writer, merged timeline.Merged) error {
	return table(w, "TIME\tVM\tEVENT\tREQUEST\tORGANISATION\tTARGET\tGROUP\tEPOCH\tDETAIL", func(add func(string, ...any)) {
		for _, e := range merged.Events {
			add("%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s", time.Unix(0, e.Stamp.Wall).UTC().Format(eventTime), e.VM, e.Kind,
				e.Request, e.Organisation, e.Target, e.Group, e.Epoch, e.Detail)
		}
		if merged.Omitted > 0 || merged.Overwritten > 0 {
			add("(%d events left out by the limit, %d overwritten)", merged.Omitted, merged.Overwritten)
		}
	})
}

var usageCommand = Registration{
	Name: "usage", Short: "Show the account: what organisations used and what targets gave",
	Long: "Reconciles the counters in the store with those of the daemons and shows every difference.",
	New:  func(c *Context) flags.Commander { return &usageCmd{c: c} },
}

type usageCmd struct {
	Daemons
	c *Context
}

// Execute implements flags.Commander.
func (u *usageCmd) Execute([]string) error {
	return u.c.withDaemons(u.Daemons, func(ctx context.Context, daemons *admin.Client, store objectstore.Store) error {
		stored, err := storedUsage(ctx, store)
		if err != nil {
			return err
		}
		report := daemons.Usage(ctx, stored)
		write := func(w io.Writer) error { return writeUsage(w, report) }
		return u.c.printPartial(report, write, silent{report.NoAnswer})
	})
}

// storedUsage reads the counters of all incarnations.
func storedUsage(ctx context.Context, store objectstore.Store) ([]account.Document, error) {
	objects, revision, err := objectstore.ListAll(ctx, store, account.Prefix, 0)
	if err != nil {
		return nil, err
	}
	var all []account.Document
	for _, object := range objects {
		document, err := account.Parse(object.Value)
		if err != nil {
			return nil, err
		}
		all = append(all, document)
	}
	return withRollups(ctx, store, all, revision)
}

// withRollups adds the counters of incarnations whose documents were rolled up.
func withRollups(ctx context.Context, store objectstore.Store, all []account.Document, minRevision int64) ([]account.Document, error) {
	objects, _, err := objectstore.ListAll(ctx, store, account.RollupPrefix, minRevision)
	if err != nil {
		return nil, err
	}
	for _, object := range objects {
		rollup, err := account.ParseRollup(object.Value)
		if err != nil {
			return nil, err
		}
		all = append(all, rollup.Documents()...)
	}
	return all, nil
}

func writeUsage(w io.Writer, report account.Report) error {
	err := table(w, "ORGANISATION\tSIDE\tREQUESTS\tPROMPT TOKENS\tGENERATED TOKENS\tDIFFERENCES\tSETTLING", func(add func(string, ...any)) {
		for _, o := range report.Organisations {
			add("%s\tused\t%s\t%d\t%d\t%d\t%d", o.Organisation, outcomes(o.Used), o.Used.PromptTokens, o.Used.GeneratedTokens, len(o.Differences), o.Settling)
			add("\tgiven\t%s\t%d\t%d\t\t", outcomes(o.Given), o.Given.PromptTokens, o.Given.GeneratedTokens)
			for _, d := range o.Differences {
				add("\tdifference\t%s\tused %d given %d\tused %d given %d\t\t", d.Request, d.Used.PromptTokens, d.Given.PromptTokens,
					d.Used.GeneratedTokens, d.Given.GeneratedTokens)
			}
		}
	})
	if err != nil {
		return err
	}
	for _, holder := range report.Unclean {
		if _, err := fmt.Fprintf(w, "%s (incarnation %d) ended without its last records\n", holder.VM, holder.Incarnation); err != nil {
			return err
		}
	}
	return nil
}

func outcomes(totals account.Totals) string {
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
