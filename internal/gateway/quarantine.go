package gateway

import (
	"context"
	"time"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/placer"
)

const (
	// crashCheckTimeout limits the check whether a target still accepts connections. It
	// covers a round trip between regions.
	crashCheckTimeout = 120 * time.Millisecond
	// progressEvents is the number of events after which a stream has made progress at its
	// target.
	progressEvents = 2
)

// splitParts returns the IDs of the shared parts of a prompt and that of its last part,
// which belongs to the request or its session.
func splitParts(parts []placer.Part) (shared []string, own string) {
	if len(parts) == 0 {
		return nil, ""
	}
	last := len(parts) - 1
	for _, part := range parts[:last] {
		shared = append(shared, part.ID)
	}
	return shared, parts[last].ID
}

// checkQuarantine returns an error if the request is to be kept from the targets because
// of its prompt.
func (c *call) checkQuarantine() *errs.Error {
	if len(c.sharedParts) == 0 {
		return nil
	}
	if remaining := c.server.opt.Quarantine.Blocked(c.service, c.sharedParts); remaining > 0 {
		return errs.NotRun(errs.Quarantined, "a part of the prompt has crashed several targets").WithRetry(remaining)
	}
	return nil
}

// checkCrash reports whether a target that broke off the request without progress accepts
// no connection any more, and if so, reports the crash to the quarantine.
func (c *call) checkCrash(target, address string) bool {
	crashed := c.targetEnded(address)
	if crashed && len(c.sharedParts) > 0 {
		c.server.opt.Quarantine.TargetCrashed(c.service, target, c.sharedParts, c.ownPart)
	}
	return crashed
}

// targetEnded reports whether a target accepts no connection, as after its end.
func (c *call) targetEnded(address string) bool {
	ctx, cancel := context.WithTimeout(c.ctx, crashCheckTimeout)
	defer cancel()
	return c.server.opt.Upstream.Refuses(ctx, address)
}

// recordProgress reports to the quarantine that the request has made progress.
func (c *call) recordProgress() {
	if len(c.sharedParts) > 0 {
		c.server.opt.Quarantine.Progressed(c.service, c.sharedParts)
	}
}

// mayCrashTargets reports whether the request may be the cause of crashes, so that it must
// not be sent to a further target.
func (c *call) mayCrashTargets() bool {
	return len(c.sharedParts) > 0 && c.server.opt.Quarantine.Suspect(c.service, c.sharedParts)
}
