//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"cicadaslip/internal/standin/engine"
	"cicadaslip/internal/standin/metastore"
)

const (
	heldAdapters = 60
	heldEvents   = 5
	heldInterval = 40 * time.Millisecond
	beforeCut    = 6 * time.Second
	cutTime      = 4 * time.Second
	afterCut     = 9 * time.Second
	thawSlack    = 300 * time.Millisecond // thaw_slack_ms
)

// linkedEngines starts runners behind links, whose addresses stand in their entries.
func (d *deployment) linkedEngines(count int, noFences bool) ([]*link, error) {
	private, err := metastore.Start("127.0.0.1:0") // of the runners' own entries, without the links
	if err != nil {
		return nil, err
	}
	var links []*link
	for i := range count {
		t, err := engine.Start(engine.Settings{
			ID: fmt.Sprintf("i-%08x", i+1), Service: llmService, Zone: zones[i%len(zones)], Model: modelName, Slots: 64, Adapters: places,
			Events: heldEvents, Pause: 20 * time.Millisecond, Load: 250 * time.Millisecond, NoFences: noFences,
		}, private)
		if err != nil {
			return nil, err
		}
		d.engines = append(d.engines, t)
		l, err := newLink(t.Settings.Address)
		if err != nil {
			return nil, err
		}
		links = append(links, l)
	}
	register := func() {
		for i, t := range d.engines {
			_ = t.Beat()
			var entry map[string]any
			if json.Unmarshal(private.Spec("servers", t.Settings.ID), &entry) == nil {
				entry["address"] = links[i].address()
				_ = d.store.Put("servers", t.Settings.ID, entry)
			}
		}
	}
	register()
	go func() {
		for !d.isStopping() {
			time.Sleep(1200 * time.Millisecond)
			register()
		}
	}()
	return links, nil
}

func (d *deployment) isStopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stopping
}

// groupRecord returns the owner of the runners and its fencing token, as the store has them.
func (d *deployment) groupRecord() (owner string, epoch int64) {
	for _, name := range []string{llmService + ".0", llmService + ".0@1"} {
		var r struct {
			Owner string `json:"owner"`
			Epoch int64  `json:"epoch"`
		}
		if json.Unmarshal(d.store.Spec("groups", name), &r) == nil && r.Epoch > epoch {
			owner, epoch = r.Owner, r.Epoch
		}
	}
	return owner, epoch
}

// playHeld cuts the machine that orders the runners off from them and from the store.
func playHeld(rec *record, trouble string) (bool, error) {
	d, err := newDeployment(rec, false)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.configure(headerLimit); err != nil {
		return false, err
	}
	links, err := d.linkedEngines(4, true)
	if err != nil {
		return false, err
	}
	if err := d.startVMs(3); err != nil {
		return false, err
	}
	owner, epoch := d.groupRecord()
	index := slices.IndexFunc(d.vms, func(v *vm) bool { return v.name == owner })
	if index < 0 {
		return false, fmt.Errorf("no machine owns the runners: %q", owner)
	}
	leader := d.vms[index]
	others := slices.DeleteFunc(slices.Clone(d.vms), func(v *vm) bool { return v == leader })
	rec.printf("%s orders the runners with fencing token %d", owner, epoch)

	stop := make(chan struct{})
	var wait sync.WaitGroup
	answers := tally{record: rec}
	wait.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(heldInterval):
			}
			q := request{id: nextID(), adapter: 1 + n*7%heldAdapters, tokens: 800, events: heldEvents, parts: blocks(2*n, 2, 400), deadline: 6 * time.Second, more: "Connection: close\r\n"}
			wait.Go(func() { answers.ask(others[n%len(others)], q) })
		}
	})
	time.Sleep(beforeCut)
	var healedAt time.Time
	if trouble != noTrouble {
		rec.printf("%s is cut off from the store and the runners", owner)
		leader.link.Set(true, false, 0)
		by := &cut{sockets: &sockets{pid: leader.cmd.Process.Pid}, healed: make(chan struct{})}
		for _, l := range links {
			l.cutOff(by)
		}
		time.Sleep(cutTime)
		leader.link.Set(false, false, 0)
		for _, l := range links {
			l.heal()
		}
		close(by.healed)
		healedAt = time.Now()
		rec.printf("the cut has healed")
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(afterCut)
	close(stop)
	wait.Wait()
	for _, l := range links {
		l.close()
	}
	d.recordRuns()
	next, newEpoch := d.groupRecord()
	rec.printf("%s has fencing token %d at the end; answers: %s", next, newEpoch, &answers)
	broken := false
	for _, t := range d.engines {
		highest, from := int64(0), ""
		for _, o := range t.ReceivedOrders() {
			rec.printf("%s got at %.3f an order of %s with fencing token %d", t.Settings.ID, rec.since(o.At), o.Holder, o.Token)
			switch {
			case o.Token >= highest:
				highest, from = o.Token, o.Holder
			case o.At.After(healedAt) && o.At.Sub(healedAt) <= thawSlack:
				rec.printf("  that order does not count: the link had healed %d ms before", o.At.Sub(healedAt).Milliseconds())
			default:
				rec.printf("  ONE: %s had got fencing token %d of %s before, and the cut had ended %d ms before", t.Settings.ID, highest, from, o.At.Sub(healedAt).Milliseconds())
				broken = true
			}
		}
	}
	return broken, nil
}
