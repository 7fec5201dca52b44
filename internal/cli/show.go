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

const columnGap = 2

// table writes rows as aligned columns.
func table(w io.Writer, header string, rows func(add func(format string, values ...any))) error {
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
	Daemons
	c *Context
}

type statusResult struct {
	Daemons []admin.Status `json:"daemons"`
	silent
}

// Execute implements flags.Commander.
func (s *statusCmd) Execute([]string) error {
	return s.c.withDaemons(s.Daemons, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		answers := daemons.Status(ctx)
		result := statusResult{silent: silent{admin.NoAnswer(answers)}}
		for _, answer := range answers {
			if answer.Err == nil {
				result.Daemons = append(result.Daemons, answer.Value)
			}
		}
		return s.c.printPartial(result, result.write, result.silent)
	})
}

func (r statusResult) write(w io.Writer) error {
	return table(w, "VM\tDATA CENTRE\tREADY\tDRAINING\tCONFIG\tIN FLIGHT\tPEERS ALIVE\tGROUPS", func(add func(string, ...any)) {
		for _, d := range r.Daemons {
			alive := 0
			for _, peer := range d.Peers {
				if peer.State == "alive" {
					alive++
				}
			}
			add("%s\t%s\t%v\t%v\t%d\t%d\t%d/%d\t%d", d.VM.Name, d.VM.DataCentre, d.Ready, d.Draining, d.ConfigVersion,
				d.InFlight, alive, len(d.Peers), len(d.Groups))
			for _, g := range d.Groups {
				add("  %s\tepoch %d\tbarrier %v\tqueued %d\t\t\t\t%d targets", g.Group, g.Epoch, g.Barrier, g.Queued, g.Targets)
			}
		}
	})
}

var targetsCommand = Registration{
	Name: "targets", Short: "Show the targets as the owners of their groups see them",
	Long: "Asks the daemons for the targets of the groups that they own.",
	New:  func(c *Context) flags.Commander { return &targetsCmd{c: c} },
}

type targetsCmd struct {
	Daemons
	c *Context
}

type targetsResult struct {
	Targets []admin.TargetStatus `json:"targets"`
	Omitted int                  `json:"omitted"`
	silent
}

// Execute implements flags.Commander.
func (t *targetsCmd) Execute([]string) error {
	return t.c.withDaemons(t.Daemons, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		answers := daemons.Targets(ctx)
		result := targetsResult{silent: silent{admin.NoAnswer(answers)}}
		for _, answer := range answers {
			result.Targets = append(result.Targets, answer.Value.Targets...)
			result.Omitted += answer.Value.Omitted
		}
		return t.c.printPartial(result, result.write, result.silent)
	})
}

func (r targetsResult) write(w io.Writer) error {
	return table(w, "TARGET\tCLASS\tDATA CENTRE\tGROUP\tEPOCH\tLEAVING\tPERMITS\tSTRAGGLER\tINTENTS", func(add func(string, ...any)) {
		for _, t := range r.Targets {
			add("%s\t%s\t%s\t%s\t%d\t%v\t%d/%d\t%v\t%d", t.Target.Name, t.Target.Class, t.Target.DataCentre, t.Group, t.Epoch,
				t.Target.Leaving, t.Permits, t.Target.Concurrency, t.Straggler, t.Intents)
		}
	})
}

var adaptersCommand = Registration{
	Name: "adapters", Short: "Show the adapters in the targets' slots",
	Long: "Asks the daemons for the adapter versions on the targets of the groups that they own.",
	New:  func(c *Context) flags.Commander { return &adaptersCmd{c: c} },
}

type adaptersCmd struct {
	Daemons
	Organisation string `long:"organisation" description:"only adapters of this organisation"`
	Adapter      string `long:"adapter" description:"only adapters with this name"`
	Target       string `long:"target" description:"only adapters on this target"`
	c            *Context
}

type adaptersResult struct {
	Adapters []admin.AdapterStatus `json:"adapters"`
	Omitted  int                   `json:"omitted"`
	silent
}

// Execute implements flags.Commander.
func (a *adaptersCmd) Execute([]string) error {
	filter := admin.AdapterFilter{Organisation: a.Organisation, Adapter: a.Adapter, Target: a.Target}
	return a.c.withDaemons(a.Daemons, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		answers := daemons.Adapters(ctx, filter)
		result := adaptersResult{silent: silent{admin.NoAnswer(answers)}}
		for _, answer := range answers {
			result.Adapters = append(result.Adapters, answer.Value.Adapters...)
			result.Omitted += answer.Value.Omitted
		}
		return a.c.printPartial(result, result.write, result.silent)
	})
}

func (r adaptersResult) write(w io.Writer) error {
	return table(w, "ADAPTER\tTARGET\tSTATE\tPINS", func(add func(string, ...any)) {
		for _, a := range r.Adapters {
			add("%s\t%s\t%s\t%d", a.Adapter, a.Target, a.State, a.Pins)
		}
	})
}

var drainCommand = Registration{
	Name: "drain", Short: "Take VMs out of service",
	Long: "Asks the named daemons to stop taking requests, to hand their duties over and to end when no request is in flight.",
	New:  func(c *Context) flags.Commander { return &drainCmd{c: c} },
}

type drainCmd struct {
	Daemons
	c *Context
}

// Execute implements flags.Commander.
func (d *drainCmd) Execute([]string) error {
	if len(d.VM) == 0 {
		return &flags.Error{Type: flags.ErrRequired, Message: "drain needs at least one --vm"}
	}
	return d.c.withDaemons(d.Daemons, func(ctx context.Context, daemons *admin.Client, _ objectstore.Store) error {
		return silent{admin.NoAnswer(daemons.Drain(ctx))}.incomplete()
	})
}
