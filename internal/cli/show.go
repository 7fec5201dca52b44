package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/admin"
	"cicadaslip/internal/objectstore"
)

// columnGap is the number of spaces between columns.
const columnGap = 2

// writeTable writes a header and rows as aligned columns. It calls rows once, which
// adds each row by a call of addRow; tabs separate the cells.
func writeTable(w io.Writer, header string, rows func(addRow func(format string, values ...any))) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if _, err := fmt.Fprintln(t, header); err != nil {
		return err
	}
	rows(func(format string, values ...any) { _, _ = fmt.Fprintf(t, format+"\n", values...) })
	return t.Flush()
}

var statusCommand = Registration{
	Name: "status", Short: "Show each daemon, its peers and the groups that it owns",
	Long: "Asks the daemons for their readiness, configuration version, view of their peers and owned target groups.",
	New:  func(c *Context) flags.Commander { return &statusCmd{c: c} },
}

type statusCmd struct {
	DaemonOptions
	c *Context
}

type statusResult struct {
	Daemons []admin.Status `json:"daemons"`
	missingDaemons
}

// Execute implements flags.Commander.
func (s *statusCmd) Execute([]string) error {
	return s.c.withDaemons(s.DaemonOptions, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		answers := daemons.Status(ctx)
		result := statusResult{missingDaemons: missingDaemons{admin.NoAnswer(answers)}}
		for _, answer := range answers {
			if answer.Err == nil {
				result.Daemons = append(result.Daemons, answer.Value)
			}
		}
		return s.c.printPartial(result, result.write, result.missingDaemons)
	})
}

func (r statusResult) write(w io.Writer) error {
	return writeTable(w, "VM\tDATA CENTRE\tREADY\tDRAINING\tCONFIG\tIN FLIGHT\tPEERS ALIVE\tGROUPS", func(addRow func(string, ...any)) {
		for _, d := range r.Daemons {
			alive := 0
			for _, peer := range d.Peers {
				if peer.State == "alive" {
					alive++
				}
			}
			addRow("%s\t%s\t%v\t%v\t%d\t%d\t%d/%d\t%d", d.VM.Name, d.VM.DataCentre, d.Ready, d.Draining, d.ConfigVersion,
				d.InFlight, alive, len(d.Peers), len(d.Groups))
			for _, g := range d.Groups {
				addRow("  %s\tepoch %d\tbarrier %v\tqueued %d\t\t\t\t%d targets", g.Group, g.Epoch, g.Barrier, g.Queued, g.Targets)
			}
		}
	})
}

var targetsCommand = Registration{
	Name: "targets", Short: "Show the targets as the group owners see them",
	Long: "Asks the daemons for the targets of the groups that they own.",
	New:  func(c *Context) flags.Commander { return &targetsCmd{c: c} },
}

type targetsCmd struct {
	DaemonOptions
	c *Context
}

type targetsResult struct {
	Targets []admin.TargetStatus `json:"targets"`
	Omitted int                  `json:"omitted"`
	missingDaemons
}

// Execute implements flags.Commander.
func (t *targetsCmd) Execute([]string) error {
	return t.c.withDaemons(t.DaemonOptions, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		answers := daemons.Targets(ctx)
		result := targetsResult{missingDaemons: missingDaemons{admin.NoAnswer(answers)}}
		for _, answer := range answers {
			result.Targets = append(result.Targets, answer.Value.Targets...)
			result.Omitted += answer.Value.Omitted
		}
		return t.c.printPartial(result, result.write, result.missingDaemons)
	})
}

func (r targetsResult) write(w io.Writer) error {
	return writeTable(w, "TARGET\tCLASS\tDATA CENTRE\tGROUP\tEPOCH\tLEAVING\tPERMITS\tSTRAGGLER\tINTENTS", func(addRow func(string, ...any)) {
		for _, t := range r.Targets {
			addRow("%s\t%s\t%s\t%s\t%d\t%v\t%d/%d\t%v\t%d", t.Target.Name, t.Target.Class, t.Target.DataCentre, t.Group, t.Epoch,
				t.Target.Leaving, t.Permits, t.Target.Concurrency, t.Straggler, t.Intents)
		}
	})
}

var adaptersCommand = Registration{
	Name: "adapters", Short: "Show the adapters in the slots of the targets",
	Long: "Asks the daemons for the adapter versions on the targets of the groups that they own.",
	New:  func(c *Context) flags.Commander { return &adaptersCmd{c: c} },
}

type adaptersCmd struct {
	DaemonOptions
	Organisation string `long:"organisation" description:"only adapters of this organisation"`
	Adapter      string `long:"adapter" description:"only adapters with this name"`
	Target       string `long:"target" description:"only adapters on this target"`
	c            *Context
}

type adaptersResult struct {
	Adapters []admin.AdapterStatus `json:"adapters"`
	Omitted  int                   `json:"omitted"`
	missingDaemons
}

// Execute implements flags.Commander.
func (a *adaptersCmd) Execute([]string) error {
	filter := admin.AdapterFilter{Organisation: a.Organisation, Adapter: a.Adapter, Target: a.Target}
	return a.c.withDaemons(a.DaemonOptions, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		answers := daemons.Adapters(ctx, filter)
		result := adaptersResult{missingDaemons: missingDaemons{admin.NoAnswer(answers)}}
		for _, answer := range answers {
			result.Adapters = append(result.Adapters, answer.Value.Adapters...)
			result.Omitted += answer.Value.Omitted
		}
		return a.c.printPartial(result, result.write, result.missingDaemons)
	})
}

func (r adaptersResult) write(w io.Writer) error {
	return writeTable(w, "ADAPTER\tTARGET\tSTATE\tPINS", func(addRow func(string, ...any)) {
		for _, a := range r.Adapters {
			addRow("%s\t%s\t%s\t%d", a.Adapter, a.Target, a.State, a.Pins)
		}
	})
}

var drainCommand = Registration{
	Name: "drain", Short: "Take VMs out of service",
	Long: "Asks the named daemons to stop taking requests, to hand over their responsibilities and to exit when no request is in flight.",
	New:  func(c *Context) flags.Commander { return &drainCmd{c: c} },
}

type drainCmd struct {
	DaemonOptions
	c *Context
}

// Execute implements flags.Commander.
func (d *drainCmd) Execute([]string) error {
	if len(d.VM) == 0 {
		return &flags.Error{Type: flags.ErrRequired, Message: "drain needs at least one --vm"}
	}
	return d.c.withDaemons(d.DaemonOptions, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		return missingDaemons{admin.NoAnswer(daemons.Drain(ctx))}.asError()
	})
}
