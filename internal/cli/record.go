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
	Name: "record", Short: "Write a trace of the requests that arrived recently",
	Long: "Collects the arrivals that the daemons retain and writes them as a trace for replay. " +
		"Targets, shares and load rate are those in force; delays and the engine rule are those of --like. " +
		"Prompts are not part of a trace.",
	New: func(c *Context) flags.Commander { return &recordCmd{c: c} },
}

type recordCmd struct {
	DaemonOptions
	Last time.Duration `long:"last" default:"5m" description:"length of the recorded period until now, with unit"`
	Like string        `long:"like" choice:"baltzips" choice:"jegue" default:"baltzips" description:"deployment whose delays and engine rule are assumed"`
	c    *Context
}

// Execute implements flags.Commander.
func (r *recordCmd) Execute([]string) error {
	from := time.Now().Add(-r.Last)
	return r.c.withDaemons(r.DaemonOptions, func(ctx context.Context, daemons *admin.Client, store objectstore.Store) error {
		deployment, err := r.deployment(ctx, store)
		if err != nil {
			return err
		}
		answers := daemons.Arrivals(ctx, from)
		if err := writeRecording(r.c, deployment, answers); err != nil {
			return err
		}
		return missingDaemons{admin.NoAnswer(answers)}.asError()
	})
}

// deployment returns the delays and the engine rule of --like with the targets,
// shares and load rate that are currently in force.
func (r *recordCmd) deployment(ctx context.Context, store objectstore.Store) (replay.Deployment, error) {
	deployment, failure := replay.Surroundings(r.Like)
	if failure != nil {
		return deployment, failure
	}
	accepted, err := config.Load(ctx, store, 0)
	if err != nil {
		return deployment, err
	}
	client, ok := store.(*httpstore.Client)
	if !ok {
		return deployment, errs.New(errs.Internal, "the store client does not provide the list of targets")
	}
	listing, err := client.Lister().List(ctx)
	if err != nil {
		return deployment, err
	}
	applyCurrentState(&deployment, accepted.Document.Configuration(accepted.Version), listing)
	return deployment, nil
}

// applyCurrentState sets the targets, regions, shares, kinds and load rate of d from
// the accepted configuration and the platform's list of targets.
func applyCurrentState(d *replay.Deployment, configuration *model.Configuration, listing model.Listing) {
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

// writeRecording writes the arrivals of all daemons as a trace, ordered by arrival
// time.
func writeRecording(c *Context, deployment replay.Deployment, answers []admin.Answer[admin.ArrivalsReply]) error {
	var recent []arrivals.Arrival
	for _, answer := range answers {
		recent = append(recent, answer.Value.Arrivals...)
	}
	slices.SortStableFunc(recent, func(a, b arrivals.Arrival) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	recorder, err := replay.NewRecorder(c.Out, replay.Header{Deployment: deployment, Origin: replay.OriginRecorded})
	if err != nil {
		return err
	}
	for _, arrival := range recent {
		if err := recorder.Arrival(arrival.At.Sub(recent[0].At), traceArrival(arrival)); err != nil {
			return err
		}
	}
	return nil
}

// defaultKind is the kind of recorded requests that named none, because a trace
// requires one.
const defaultKind = "completion"

// traceArrival converts an arrival into a trace record.
func traceArrival(a arrivals.Arrival) replay.Arrival {
	return replay.Arrival{
		ID: a.ID, Organisation: a.Organisation, Adapter: a.Adapter.Adapter, Version: a.Adapter.Version, Kind: cmp.Or(a.Kind, defaultKind),
		Class: a.Class, Served: a.Served, PromptTokens: a.PromptTokens, OutputTokens: a.OutputTokens, Prefix: a.Prefix,
		Deadline: a.Deadline, Worth: a.Worth, DataCentre: a.DataCentre,
	}
}
