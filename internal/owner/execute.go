package owner

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/model"
	"cicadaslip/internal/rpcapi"
	"cicadaslip/internal/timeline"
)

const (
	// orderTimeout ends a load that hangs. It is far above the time of a load
	// under a full weights store.
	orderTimeout    = 20 * time.Second
	questionTimeout = 2 * time.Second
	// confirmTimeout is above orderTimeout, because a former owner confirms
	// only when its orders have ended.
	confirmTimeout = orderTimeout + 2*time.Second
	// pollInterval is the interval of the questions to each target.
	pollInterval = time.Second
)

// execute carries one command out. It must not block: it runs in the core's loop.
func (r *runtime) execute(command core.Command) {
	switch c := command.(type) {
	case core.GrantPermit:
		r.grant(c.Permit)
	case core.RefuseRequest:
		r.answer(c.ID, rpcapi.AcquireReply{Err: c.Err})
	case core.StoreIntent:
		r.writer.add(c.Intent)
	case core.ClearIntent:
		r.writer.remove(c.ID)
	case core.SendOrder:
		r.sendOrder(c.Intent)
	case core.RequestLoadPermit:
		r.ports.Loads.Ask(r.group, c, c.Due-r.now(), func(adapter model.AdapterVersion) {
			r.post(core.LoadPermitted{Adapter: adapter})
		})
	case core.CancelLoadPermit:
		r.ports.Loads.Cancel(r.group, c.Adapter)
	case core.CancelOnTarget:
		go r.cancelOnTarget(c)
	case core.RequestTargetState:
		go r.askState(c.Target)
	case core.RequestEpochConfirmation:
		go r.askConfirmation(c.Holder)
	case core.HedgeRequest:
		go r.hedge(c)
	case core.RecordGiven:
		r.ended(c.ID)
		r.ports.Accounts.RecordGiven(c)
	}
}

func (r *runtime) grant(permit core.Permit) {
	permit.Group = r.group
	permit.Epoch = r.epoch
	if !r.answer(permit.Request, rpcapi.AcquireReply{Permit: permit}) {
		r.post(core.PermitReleased{ID: permit.Request, Target: permit.Target.Name, Outcome: core.OutcomeNotSent})
	}
}

// sendOrder runs in the loop's goroutine, so that an order either starts before
// stop and is awaited there, or does not start.
func (r *runtime) sendOrder(intent core.Intent) {
	r.mu.Lock()
	target, known := r.targets[intent.Target]
	stopped := r.stopped
	r.mu.Unlock()
	if stopped {
		return
	}
	if !known {
		r.post(core.OrderFailed{ID: intent.ID, Err: errs.New(errs.NoTarget, "target left the list")})
		return
	}
	r.orders.Add(1)
	go func() {
		defer r.orders.Done()
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		r.record(timeline.OrderSent, intent.Target, string(intent.Kind)+" "+intent.Adapter.String())
		result := r.ports.Orders.Execute(ctx, target, intent)
		r.orderEnded(intent, result)
	}()
}

func (r *runtime) orderEnded(intent core.Intent, result core.Event) {
	detail := string(intent.Kind) + " " + intent.Adapter.String()
	switch event := result.(type) {
	case core.OrderDone:
		r.record(timeline.OrderDone, intent.Target, detail)
		r.noteOrder(intent)
	case core.OrderFailed:
		r.record(timeline.OrderFailed, intent.Target, detail+": "+event.Err.Error())
	default:
		r.record(timeline.OrderFailed, intent.Target, detail+": result unknown")
	}
	r.post(result)
}

func (r *runtime) noteOrder(intent core.Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resident.order(intent)
}

func (r *runtime) record(kind timeline.Kind, target, detail string) {
	r.ports.Events.Record(timeline.Event{Kind: kind, Group: r.group, Epoch: r.epoch, Target: target, Detail: detail})
}

func (r *runtime) target(name string) (model.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target, ok := r.targets[name]
	return target, ok
}

func (r *runtime) cancelOnTarget(command core.CancelOnTarget) {
	target, ok := r.target(command.Target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, questionTimeout)
	defer cancel()
	if err := r.ports.Orders.Cancel(ctx, target, command.ID); err != nil {
		r.log.Warn().Err(err).Str("target", target.Name).Str("request", string(command.ID)).Msg("cancel on target failed")
	}
}

func (r *runtime) askState(name string) {
	target, ok := r.target(name)
	if !ok {
		return
	}
	asked := r.now()
	ctx, cancel := context.WithTimeout(r.ctx, questionTimeout)
	defer cancel()
	state, err := r.ports.Orders.State(ctx, target, r.epoch)
	if err != nil {
		r.log.Debug().Err(err).Str("target", name).Msg("target state not available")
		return
	}
	state.Target = name
	state.RequestedAt = asked
	r.mu.Lock()
	restarted := r.resident.state(state)
	r.mu.Unlock()
	if restarted {
		r.record(timeline.TargetRestarted, name, state.Instance)
	}
	r.post(state)
}

// pollTargets asks each target for its state. Reports of load are not asked for:
// they lag, and stragglers are found from observed token times. The first question is
// sent at once, the later ones with jitter so that they spread out.
func (r *runtime) pollTargets() {
	for {
		r.mu.Lock()
		names := make([]string, 0, len(r.targets))
		for name, target := range r.targets {
			if target.Class == model.ClassRunner {
				names = append(names, name)
			}
		}
		r.mu.Unlock()
		for _, name := range names {
			go r.askState(name)
		}
		pause := pollInterval/2 + rand.N(pollInterval)
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// askConfirmation asks a VM to confirm the epoch. The core asks again until the
// VM has confirmed or is gone; only one call per VM is in flight.
func (r *runtime) askConfirmation(holder model.Holder) {
	if r.ports.Liveness.Gone(holder) {
		// The holder may have gone before this runtime began, when nobody told it.
		r.post(core.HolderGone{Holder: holder})
		return
	}
	if !r.startAsking(holder) {
		return
	}
	defer r.endAsking(holder)
	ctx, cancel := context.WithTimeout(r.ctx, confirmTimeout)
	defer cancel()
	request := rpcapi.ConfirmEpochRequest{Group: r.group, Epoch: r.epoch}
	reply, err := r.ports.Peers.ConfirmEpoch(ctx, holder.VM, request)
	if err != nil || reply.Err != nil || reply.Holder != holder {
		return
	}
	r.record(timeline.EpochConfirmed, "", holder.VM)
	r.post(core.EpochConfirmed{Holder: holder, Permits: reply.Permits})
}

func (r *runtime) startAsking(holder model.Holder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asking[holder] {
		return false
	}
	r.asking[holder] = true
	return true
}

func (r *runtime) endAsking(holder model.Holder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asking, holder)
}

func (r *runtime) hedge(command core.HedgeRequest) {
	ctx, cancel := context.WithTimeout(r.ctx, questionTimeout)
	defer cancel()
	if err := r.ports.Peers.Hedge(ctx, command.Holder.VM, command); err != nil {
		r.log.Debug().Err(err).Str("request", string(command.ID)).Msg("hedge advice not delivered")
	}
}
