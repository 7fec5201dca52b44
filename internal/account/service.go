package account

import "cicadaslip/internal/errs"

// ServiceName is the name under which the daemon registers Service.
const ServiceName = "Account"

// Methods of Service.
const (
	MethodHold     = ServiceName + ".Hold"
	MethodTakeOver = ServiceName + ".TakeOver"
)

// Reply is the reply of the methods of Service.
type Reply struct{ Err *errs.Error }

// Service is the net/rpc service for the other VMs' Peers.
type Service struct{ ledger *Ledger }

// NewService returns the service of a ledger.
func NewService(ledger *Ledger) *Service { return &Service{ledger: ledger} }

// Hold keeps another VM's counters.
func (s *Service) Hold(document Document, reply *Reply) error {
	reply.Err = errs.As(s.ledger.Hold(document))
	return nil
}

// TakeOver enters a batch of given entries.
func (s *Service) TakeOver(batch Batch, reply *Reply) error {
	reply.Err = errs.As(s.ledger.TakeOver(batch))
	return nil
}
