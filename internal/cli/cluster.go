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

// Daemons are the options of subcommands that ask daemons.
type Daemons struct {
	Settings string   `short:"s" long:"settings" env:"CICADASLIP_SETTINGS" value-name:"FILE" description:"settings of any VM: the cluster secret and the platform's address are taken from it"`
	VM       []string `long:"vm" value-name:"NAME" description:"ask only this VM; may be repeated"`
}

// withDaemons calls work with a client of the registered daemons and a client
// of the platform.
func (c *Context) withDaemons(o Daemons, work func(ctx context.Context, daemons *admin.Client, store objectstore.Store) error) error {
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
	addresses, err := addressesOf(ctx, store, o.VM)
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

// addressesOf returns where the named VMs, or all, take calls.
func addressesOf(ctx context.Context, store objectstore.Store, names []string) ([]string, error) {
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

// silent is part of results: the daemons that did not answer.
type silent struct {
	NoAnswer []string `json:"no_answer"`
}

// incomplete returns an error if a daemon did not answer, so that a script
// notices that the result misses something.
func (s silent) incomplete() error {
	if len(s.NoAnswer) == 0 {
		return nil
	}
	return errs.New(errs.PeerUnavailable, "the result is incomplete: daemons did not answer").WithDetails(s.NoAnswer...)
}

// printPartial prints a result and fails if daemons are missing in it.
func (c *Context) printPartial(result any, text func(w io.Writer) error, missing silent) error {
	if err := c.Print(result, text); err != nil {
		return err
	}
	return missing.incomplete()
}
