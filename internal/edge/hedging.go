package edge

import (
	"sync"
	"time"

	"cicadaslip/internal/gateway"
	"cicadaslip/internal/hedge"
)

// hedging implements gateway.Hedging. The limit applies to each service on this VM by itself.
type hedging struct {
	deployment *deployment
	limit      float64
	overQuota  func(organisation string) bool // reports whether an organisation is out of quota

	mu       sync.Mutex
	policies map[string]*hedge.Policy // by service
}

// newHedging returns the hedging of the daemon, nil if the limit allows none. overQuota reports
// whether an organisation is out of quota.
func newHedging(d *deployment, limit float64, overQuota func(organisation string) bool) gateway.Hedging {
	if limit <= 0 {
		return nil
	}
	return &hedging{deployment: d, limit: limit, overQuota: overQuota, policies: map[string]*hedge.Policy{}}
}

// policy returns the policy of a service, and creates it if there is none. The caller holds the
// lock.
func (h *hedging) policy(service string) *hedge.Policy {
	p := h.policies[service]
	if p == nil {
		p = hedge.New(h.limit)
		h.policies[service] = p
	}
	return p
}

// CountRequest implements gateway.Hedging.
func (h *hedging) CountRequest(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy(service).CountRequest(h.deployment.now())
}

// Observe implements gateway.Hedging.
func (h *hedging) Observe(service string, took, expected time.Duration, answered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy(service).Observe(h.deployment.now(), took, expected, answered)
}

// Delay implements gateway.Hedging.
func (h *hedging) Delay(service string, expected time.Duration, leaves bool) (time.Duration, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.policy(service).Delay(h.deployment.now(), expected, leaves)
}

// Take implements gateway.Hedging.
func (h *hedging) Take(service string, q gateway.HedgeQuestion) hedge.Denial {
	q.Conditions.OverQuota = q.Organisation != "" && h.overQuota(q.Organisation)
	q.Conditions.NoCapacity = !q.Placed && !h.deployment.hasFreeSlot(service, q.Exclude)
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.policy(service).Take(h.deployment.now(), q.Conditions)
}

// Return implements gateway.Hedging.
func (h *hedging) Return(service string, takenAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy(service).Return(h.deployment.now(), takenAt.Sub(h.deployment.startedAt))
}

// Short implements gateway.Hedging.
func (h *hedging) Short(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.policy(service).Short(h.deployment.now())
}

// delays returns the delays of the services whose latency is known, for a request that is expected
// to take a second.
func (h *hedging) delays() map[string]time.Duration {
	services, _ := h.deployment.servicesAndTargets()
	h.mu.Lock()
	defer h.mu.Unlock()
	all := map[string]time.Duration{}
	for service, p := range h.policies {
		if delay, known := p.Delay(h.deployment.now(), time.Second, services[service].Engine != nil); known {
			all[service] = delay
		}
	}
	return all
}

// hasFreeSlot reports whether a target of a plain service outside exclude takes a request now and
// is not known to be busy.
func (d *deployment) hasFreeSlot(service string, exclude []string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	return d.balancer(service).HasFreeSlot(now, append(d.unpickable(now), exclude...))
}
