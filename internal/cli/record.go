package cli

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/jessevdk/go-flags"

	"cicadaslip/internal/admin"
	"cicadaslip/internal/arrivals"
	"cicadaslip/internal/config"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/objectstore"
	"cicadaslip/internal/objectstore/httpstore"
	"cicadaslip/internal/replay"
)

var recordCommand = Registration{
	Name: "record", Short: "Write a trace of the requests that arrived lately",
	Long: "Gathers the arrivals that the daemons keep and writes them as a trace for replay. " +
		"Targets, shares and load rate are those in force; delays and the engine rule are those of --like. " +
		"Prompts are not part of a trace.",
	New: func(c *Context) flags.Commander { return &recordCmd{c: c} },
}

type recordCmd struct {
	Daemons
	Last time.Duration `long:"last" default:"5m" description:"arrivals of the last period, with unit"`
	Like string        `long:"like" choice:"baltzips" choice:"jegue" default:"baltzips" description:"deployment whose delays and engine rule are assumed"`
	c    *Context
}

// Execute implements flags.Commander.
func (r *recordCmd) Execute([]string) error {
	from := time.Now().Add(-r.Last)
	return r.c.withDaemons(r.Daemons, func(ctx context.Context, daemons *admin.Client, store objectstore.Store) error {
		deployment, err := r.deployment(ctx, store)
		if err != nil {
			return err
		}
		answers := daemons.Arrivals(ctx, from)
		if err := writeRecording(r.c, deployment, answers); err != nil {
			return err
		}
		return silent{admin.NoAnswer(answers)}.incomplete()
	})
}

// deployment describes the targets and shares in force.
func (r *recordCmd) deployment(ctx context.Context, store objectstore.Store) (replay.Deployment, error) {
	deployment, failure := replay.Surroundings(r.Like)
	if failure != nil {
		return deployment, failure
	}
	accepted, err := config.Load(ctx, store, 0)
	if err != nil {
		return deployment, err
	}
	client, isClient := store.(*httpstore.Client)
	if !isClient {
		return deployment, errs.New(errs.Internal, "the store has no list")
	}
	listing, err := client.Lister().List(ctx)
	if err != nil {
		return deployment, err
	}
	describe(&deployment, accepted.Document.Configuration(accepted.Version), listing)
	return deployment, nil
}

func describe(d *replay.Deployment, configuration *model.Configuration, listing model.Listing) {
	d.Targets, d.GroupsPerPool, d.LoadRate = listing.Targets, configuration.GroupsPerPool, configuration.LoadRate
	d.Regions, d.Shares, d.RepeatableKinds = map[string]string{}, map[string]float64{}, map[string]bool{}
	for _, target := range listing.Targets {
		d.Regions[target.DataCentre] = target.Region
	}
	for name, organisation := range configuration.Organisations {
		d.Shares[name] = organisation.Share
	}
	for name, kind := range configuration.Kinds {
		d.RepeatableKinds[name] = !kind.AtMostOnce
	}
}

// writeRecording writes the arrivals of all daemons in the order of their times.
func writeRecording(c *Context, deployment replay.Deployment, answers []admin.Answer[admin.ArrivalsReply]) error {
	var all []arrivals.Arrival
	for _, answer := range answers {
		all = append(all, answer.Value.Arrivals...)
	}
	slices.SortStableFunc(all, func(a, b arrivals.Arrival) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	recorder, err := replay.NewRecorder(c.Out, replay.Header{Deployment: deployment, Origin: replay.OriginRecorded})
	if err != nil {
		return err
	}
	for _, arrival := range all {
		if err := recorder.Arrival(arrival.At.Sub(all[0].At), recorded(arrival)); err != nil {
			return err
		}
	}
	return nil
}

// unnamedKind stands for requests that named no kind: a trace needs one.
const unnamedKind = "completion"

func recorded(a arrivals.Arrival) replay.Arrival {
	return replay.Arrival{
		ID: a.ID, Organisation: a.Organisation, Adapter: a.Adapter.Adapter, Version: a.Adapter.Version, Kind: cmp.Or(a.Kind, unnamedKind),
		Class: a.Class, Served: a.Served, PromptTokens: a.PromptTokens, OutputTokens: a.OutputTokens, Prefix: a.Prefix,
		Deadline: a.Deadline, Worth: a.Worth, DataCentre: a.DataCentre,
	}
}
