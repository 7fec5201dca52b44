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
	// orderTimeout bounds an order, so that a load that hangs is abandoned. It
	// is far longer than a load takes when the weights store is at capacity.
	orderTimeout = 20 * time.Second
	// queryTimeout bounds state queries and cancellations on targets, and hedge
	// advice to peers.
	queryTimeout = 2 * time.Second
	// confirmationTimeout exceeds orderTimeout because a former owner confirms
	// an epoch only after its own orders have ended.
	confirmationTimeout = orderTimeout + 2*time.Second
	// pollInterval is the mean interval between state queries to each target.
	pollInterval = time.Second
)

// execute carries out one command of the core. It must not block, because it
// runs in the goroutine of loop.
func (r *runtime) execute(command core.Command) {
	switch c := command.(type) {
	case core.GrantPermit:
		r.grantPermit(c.Permit)
	case core.RefuseRequest:
		r.reply(c.ID, rpcapi.AcquireReply{Err: c.Err})
	case core.StoreIntent:
		r.writer.add(c.Intent)
	case core.ClearIntent:
		r.writer.remove(c.ID)
	case core.SendOrder:
		r.sendOrder(c.Intent)
	case core.RequestLoadPermit:
		r.ports.LoadPermits.Request(r.group, c, c.Due-r.now(), func(adapter model.AdapterVersion) {
			r.post(core.LoadPermitted{Adapter: adapter})
		})
	case core.CancelLoadPermit:
		r.ports.LoadPermits.Cancel(r.group, c.Adapter)
	case core.CancelOnTarget:
		go r.cancelOnTarget(c)
	case core.RequestTargetState:
		go r.queryState(c.Target)
	case core.RequestEpochConfirmation:
		go r.requestConfirmation(c.Holder)
	case core.HedgeRequest:
		go r.sendHedge(c)
	case core.RecordGiven:
		r.forgetPermit(c.ID)
		r.ports.Accounting.RecordGiven(c)
	}
}

// grantPermit sends a permit to the waiting caller. If the caller is gone, the
// permit is released at once.
func (r *runtime) grantPermit(permit core.Permit) {
	permit.Group = r.group
	permit.Epoch = r.epoch
	if !r.reply(permit.Request, rpcapi.AcquireReply{Permit: permit}) {
		r.post(core.PermitReleased{ID: permit.Request, Target: permit.Target.Name, Outcome: core.OutcomeNotSent})
	}
}

// sendOrder sends the order of a stored intent to its target. It runs in the
// goroutine of loop, so an order either starts before stop, which waits for it,
// or does not start at all.
func (r *runtime) sendOrder(intent core.Intent) {
	r.mu.Lock()
	target, listed := r.targets[intent.Target]
	stopped := r.stopped
	r.mu.Unlock()
	if stopped {
		return
	}
	if !listed {
		r.post(core.OrderFailed{ID: intent.ID, Err: errs.New(errs.NoTarget, "target is no longer in the target list")})
		return
	}
	r.orders.Add(1)
	go func() {
		defer r.orders.Done()
		ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
		defer cancel()
		r.recordEvent(timeline.OrderSent, intent.Target, string(intent.Kind)+" "+intent.Adapter.String())
		result := r.ports.Orders.Execute(ctx, target, intent)
		r.handleOrderResult(intent, result)
	}()
}

// handleOrderResult records the result of an order and passes it to the core.
func (r *runtime) handleOrderResult(intent core.Intent, result core.Event) {
	detail := string(intent.Kind) + " " + intent.Adapter.String()
	switch event := result.(type) {
	case core.OrderDone:
		r.recordEvent(timeline.OrderDone, intent.Target, detail)
		r.applyToResident(intent)
	case core.OrderFailed:
		r.recordEvent(timeline.OrderFailed, intent.Target, detail+": "+event.Err.Error())
	default:
		r.recordEvent(timeline.OrderFailed, intent.Target, detail+": result unknown")
	}
	r.post(result)
}

// applyToResident updates the resident set after a completed order.
func (r *runtime) applyToResident(intent core.Intent) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resident.applyOrder(intent)
}

// recordEvent adds an event of this group and epoch to the timeline.
func (r *runtime) recordEvent(kind timeline.Kind, target, detail string) {
	r.ports.Events.Record(timeline.Event{Kind: kind, Group: r.group, Epoch: r.epoch, Target: target, Detail: detail})
}

// target returns the target with the given name, if it is still in the group.
func (r *runtime) target(name string) (model.Target, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	target, ok := r.targets[name]
	return target, ok
}

// cancelOnTarget cancels a request on a target on a best-effort basis.
func (r *runtime) cancelOnTarget(command core.CancelOnTarget) {
	target, ok := r.target(command.Target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, queryTimeout)
	defer cancel()
	if err := r.ports.Orders.Cancel(ctx, target, command.ID); err != nil {
		r.log.Warn().Err(err).Str("target", target.Name).Str("request", string(command.ID)).Msg("could not cancel request on target")
	}
}

// queryState asks a target for its state and passes the answer to the core.
func (r *runtime) queryState(name string) {
	target, ok := r.target(name)
	if !ok {
		return
	}
	sentAt := r.now()
	ctx, cancel := context.WithTimeout(r.ctx, queryTimeout)
	defer cancel()
	state, err := r.ports.Orders.State(ctx, target, r.epoch)
	if err != nil {
		r.log.Debug().Err(err).Str("target", name).Msg("could not query target state")
		return
	}
	state.Target = name
	state.RequestedAt = sentAt
	r.mu.Lock()
	restarted := r.resident.applyState(state)
	r.mu.Unlock()
	if restarted {
		r.recordEvent(timeline.TargetRestarted, name, state.Instance)
	}
	r.post(state)
}

// pollTargets queries the state of each runner until the runtime ends. It does
// not query load reports: they lag, and stragglers are detected from observed
// token times. The first queries are sent at once; later ones are jittered to
// spread them over time.
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
			go r.queryState(name)
		}
		delay := pollInterval/2 + rand.N(pollInterval)
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(delay):
		}
	}
}

// requestConfirmation asks a VM to confirm the epoch. The core repeats the
// command until the VM has confirmed or is gone. At most one call per VM is in
// flight.
func (r *runtime) requestConfirmation(holder model.Holder) {
	if r.ports.Liveness.Gone(holder) {
		// A holder that was gone before this runtime started caused no
		// HolderGone event here.
		r.post(core.HolderGone{Holder: holder})
		return
	}
	if !r.beginConfirmation(holder) {
		return
	}
	defer r.endConfirmation(holder)
	ctx, cancel := context.WithTimeout(r.ctx, confirmationTimeout)
	defer cancel()
	request := rpcapi.ConfirmEpochRequest{Group: r.group, Epoch: r.epoch}
	reply, err := r.ports.Peers.ConfirmEpoch(ctx, holder.VM, request)
	if err != nil || reply.Err != nil || reply.Holder != holder {
		return
	}
	r.recordEvent(timeline.EpochConfirmed, "", holder.VM)
	r.post(core.EpochConfirmed{Holder: holder, Permits: reply.Permits})
}

// beginConfirmation marks a confirmation call to the holder as in flight. It
// returns false if one is in flight already.
func (r *runtime) beginConfirmation(holder model.Holder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.confirming[holder] {
		return false
	}
	r.confirming[holder] = true
	return true
}

// endConfirmation marks the confirmation call to the holder as finished.
func (r *runtime) endConfirmation(holder model.Holder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.confirming, holder)
}

// sendHedge advises the holder of a running request to start a second attempt.
// The advice is not repeated if it cannot be delivered.
func (r *runtime) sendHedge(command core.HedgeRequest) {
	ctx, cancel := context.WithTimeout(r.ctx, queryTimeout)
	defer cancel()
	if err := r.ports.Peers.Hedge(ctx, command.Holder.VM, command); err != nil {
		r.log.Debug().Err(err).Str("request", string(command.ID)).Msg("could not deliver hedge advice")
	}
}
