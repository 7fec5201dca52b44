package admin

import (
	"time"

	"cicadaslip/internal/account"
	"cicadaslip/internal/arrivals"
	"cicadaslip/internal/errs"
	"cicadaslip/internal/timeline"
)

// ServiceName is the name under which the daemon registers Service.
const ServiceName = "Admin"

// Overview tells about the daemon and what its groups' cores know.
type Overview interface {
	Status() (Status, error)
	Targets() ([]TargetStatus, error)
	Adapters(filter AdapterFilter) ([]AdapterStatus, error)
}

// Events gives the events of this process. *timeline.Ring implements it.
type Events interface {
	Select(filter timeline.Filter) timeline.Answer
}

// Account gives this VM's part of the account. *account.Ledger implements it.
type Account interface{ Answer() account.Answer }

// Drainer starts the drain of the daemon and returns without waiting for its
// end. A repeat has no effect.
type Drainer interface{ Drain() error }

// Arrivals gives the newest requests of this VM's callers. *arrivals.Log
// implements it.
type Arrivals interface {
	Since(from time.Time, limit int) ([]arrivals.Arrival, int)
}

// Sources are what the service shows.
type Sources struct {
	Overview Overview
	Events   Events
	Account  Account
	Drainer  Drainer
	Arrivals Arrivals
}

// Service is the net/rpc service. Its methods put failures into the reply.
type Service struct{ sources Sources }

// NewService returns the service over its sources.
func NewService(sources Sources) *Service { return &Service{sources: sources} }

// Status tells about the daemon.
func (s *Service) Status(_ Empty, reply *StatusReply) error {
	status, err := s.sources.Overview.Status()
	reply.Status, reply.Err = status, errs.As(err)
	return nil
}

// Targets lists the targets of the groups that the daemon owns.
func (s *Service) Targets(_ Empty, reply *TargetsReply) error {
	targets, err := s.sources.Overview.Targets()
	reply.Targets, reply.Omitted = bounded(targets)
	reply.Err = errs.As(err)
	return nil
}

// Adapters lists the adapters in the slots of those targets.
func (s *Service) Adapters(filter AdapterFilter, reply *AdaptersReply) error {
	adapters, err := s.sources.Overview.Adapters(filter)
	reply.Adapters, reply.Omitted = bounded(adapters)
	reply.Err = errs.As(err)
	return nil
}

// Timeline returns the newest events that the filter selects.
func (s *Service) Timeline(filter timeline.Filter, reply *TimelineReply) error {
	if filter.Limit <= 0 || filter.Limit > MaxEvents {
		filter.Limit = MaxEvents
	}
	reply.Answer = s.sources.Events.Select(filter)
	return nil
}

// Usage returns this VM's part of the account.
func (s *Service) Usage(_ Empty, reply *UsageReply) error {
	reply.Answer = s.sources.Account.Answer()
	return nil
}

// Arrivals lists the newest requests of this VM's callers.
func (s *Service) Arrivals(request ArrivalsRequest, reply *ArrivalsReply) error {
	reply.Arrivals, reply.Omitted = s.sources.Arrivals.Since(request.From, MaxArrivals)
	return nil
}

// Drain starts the drain of the daemon.
func (s *Service) Drain(_ Empty, reply *DrainReply) error {
	reply.Err = errs.As(s.sources.Drainer.Drain())
	return nil
}

// bounded returns at most MaxRows rows and how many were left out.
func bounded[T any](rows []T) ([]T, int) {
	kept := rows[:min(len(rows), MaxRows)]
	return kept, len(rows) - len(kept)
}
