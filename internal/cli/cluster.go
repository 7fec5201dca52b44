package cli

import (
	"context"
	"io"
	"time"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/admin"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpstore"
	"cicadaslip/internal/owner"
	"cicadaslip/internal/peer"
	"cicadaslip/internal/settings"
	"cicadaslip/internal/timeline"
)

// DaemonOptions are the options of subcommands that query daemons.
type DaemonOptions struct {
	Settings string   `short:"s" long:"settings" env:"CICADASLIP_SETTINGS" value-name:"FILE" description:"settings file of any VM, for the cluster secret and the address of the platform"`
	VM       []string `long:"vm" value-name:"NAME" description:"query only this VM; may be repeated"`
}

// withDaemons calls work with a client of the registered daemons, a client of the
// platform's object store and a context that expires after the timeout of the
// command. If o.VM is not empty, the daemons are limited to the VMs that it names.
func (c *Context) withDaemons(o DaemonOptions, work func(ctx context.Context, daemons *admin.Client, store objectstore.Store) error) error {
	if o.Settings == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "--settings or CICADASLIP_SETTINGS is required"}
	}
	s, err := settings.Load(o.Settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.Base, c.Timeout)
	defer cancel()
	store := httpstore.New(httpstore.Options{Address: s.Platform.Address})
	defer store.Close()
	addresses, err := daemonAddresses(ctx, store, o.VM)
	if err != nil {
		return err
	}
	credentials, err := peer.NewCredentials([]byte(s.Cluster.Secret))
	if err != nil {
		return err
	}
	client := peer.NewClient(credentials, timeline.NewClock(time.Now), peer.ClientSettings{})
	defer client.Close()
	return work(ctx, admin.NewClient(client, addresses), store)
}

// daemonAddresses returns the peer RPC addresses of the named VMs, or of all
// registered VMs if names is empty.
func daemonAddresses(ctx context.Context, store objectstore.Store, names []string) ([]string, error) {
	registered, err := owner.RegisteredVMs(ctx, store, 0)
	if err != nil {
		return nil, err
	}
	wanted := map[string]bool{}
	for _, name := range names {
		wanted[name] = true
	}
	var addresses []string
	for _, vm := range registered {
		if len(names) == 0 || wanted[vm.Name] {
			addresses = append(addresses, vm.PeerRPCAddr)
			delete(wanted, vm.Name)
		}
	}
	for name := range wanted {
		return nil, errs.New(errs.NotFound, "VM "+name+" is not registered")
	}
	return addresses, nil
}

// missingDaemons is embedded in results and lists the daemons that did not answer.
type missingDaemons struct {
	NoAnswer []string `json:"no_answer"`
}

// asError returns an error if a daemon did not answer, so that a script
// notices that the result is incomplete.
func (m missingDaemons) asError() error {
	if len(m.NoAnswer) == 0 {
		return nil
	}
	return errs.New(errs.PeerUnavailable, "the result is incomplete: daemons did not answer").WithDetails(m.NoAnswer...)
}

// printPartial prints a result and then returns an error if it lacks the data of
// a daemon.
func (c *Context) printPartial(result any, writeText func(w io.Writer) error, missing missingDaemons) error {
	if err := c.Print(result, writeText); err != nil {
		return err
	}
	return missing.asError()
}
