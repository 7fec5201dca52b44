package admin

import (
	"time"

	"cicadaslip/internal/account"
	"cicadaslip/internal/arrivals"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// ServiceName is the net/rpc name under which the daemon registers Service.
const ServiceName = "Admin"

// Overview returns the state of the daemon and of the target groups that it
// owns.
type Overview interface {
	Status() (Status, error)
	Targets() ([]TargetStatus, error)
	Adapters(filter AdapterFilter) ([]AdapterStatus, error)
}

// Events returns the events recorded by this process. *timeline.Ring implements
// it.
type Events interface {
	Select(filter timeline.Filter) timeline.Answer
}

// Account returns the usage data of this VM for a report. *account.Ledger
// implements it.
type Account interface{ Answer() account.Answer }

// Drainer starts the drain of the daemon and returns without waiting for its
// end. Repeated calls have no effect.
type Drainer interface{ Drain() error }

// Arrivals returns the newest requests that callers sent to this VM at or after
// the time from, and the number of requests beyond the limit. *arrivals.Log
// implements it.
type Arrivals interface {
	Since(from time.Time, limit int) ([]arrivals.Arrival, int)
}

// Sources are the parts of the daemon that the service calls.
type Sources struct {
	Overview Overview
	Events   Events
	Account  Account
	Drainer  Drainer
	Arrivals Arrivals
}

// Service is the net/rpc service. Its methods return failures in Err of the
// reply.
type Service struct{ sources Sources }

// NewService returns a service that calls the given sources.
func NewService(sources Sources) *Service { return &Service{sources: sources} }

// Status returns the status of the daemon.
func (s *Service) Status(_ Empty, reply *StatusReply) error {
	status, err := s.sources.Overview.Status()
	reply.Status, reply.Err = status, errs.As(err)
	return nil
}

// Targets lists the targets of the groups that the daemon owns.
func (s *Service) Targets(_ Empty, reply *TargetsReply) error {
	targets, err := s.sources.Overview.Targets()
	reply.Targets, reply.Omitted = truncate(targets)
	reply.Err = errs.As(err)
	return nil
}

// Adapters lists the adapters that the filter selects in the slots of the
// targets of the groups that the daemon owns.
func (s *Service) Adapters(filter AdapterFilter, reply *AdaptersReply) error {
	adapters, err := s.sources.Overview.Adapters(filter)
	reply.Adapters, reply.Omitted = truncate(adapters)
	reply.Err = errs.As(err)
	return nil
}

// Timeline returns the newest events that the filter selects, at most
// MaxEvents.
func (s *Service) Timeline(filter timeline.Filter, reply *TimelineReply) error {
	if filter.Limit <= 0 || filter.Limit > MaxEvents {
		filter.Limit = MaxEvents
	}
	reply.Answer = s.sources.Events.Select(filter)
	return nil
}

// Usage returns the usage data of this VM for a report.
func (s *Service) Usage(_ Empty, reply *UsageReply) error {
	reply.Answer = s.sources.Account.Answer()
	return nil
}

// Arrivals lists the newest requests that callers sent to this VM, at most
// MaxArrivals.
func (s *Service) Arrivals(request ArrivalsRequest, reply *ArrivalsReply) error {
	reply.Arrivals, reply.Omitted = s.sources.Arrivals.Since(request.From, MaxArrivals)
	return nil
}

// Drain starts the drain of the daemon.
func (s *Service) Drain(_ Empty, reply *DrainReply) error {
	reply.Err = errs.As(s.sources.Drainer.Drain())
	return nil
}

// truncate returns the first MaxRows rows and the number of rows left out.
func truncate[T any](rows []T) ([]T, int) {
	kept := rows[:min(len(rows), MaxRows)]
	return kept, len(rows) - len(kept)
}
