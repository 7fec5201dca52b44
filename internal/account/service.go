package account

import "cicadaslip/internal/errs"

// ServiceName is the net/rpc name under which the daemon registers Service.
const ServiceName = "Account"

// Methods of Service.
const (
	MethodHold     = ServiceName + ".Hold"
	MethodTakeOver = ServiceName + ".TakeOver"
)

// Reply is the reply of the methods of Service. Err is nil on success.
type Reply struct{ Err *errs.Error }

// Service is the net/rpc service that the Peers implementations of other VMs
// call.
type Service struct{ ledger *Ledger }

// NewService returns a service that stores what it receives in the ledger.
func NewService(ledger *Ledger) *Service { return &Service{ledger: ledger} }

// Hold stores a replica of the counters of another VM. See Ledger.StoreReplica.
func (s *Service) Hold(document Document, reply *Reply) error {
	reply.Err = errs.As(s.ledger.StoreReplica(document))
	return nil
}

// TakeOver adds a batch of given entries from a group owner. See
// Ledger.ReceiveBatch.
func (s *Service) TakeOver(batch Batch, reply *Reply) error {
	reply.Err = errs.As(s.ledger.ReceiveBatch(batch))
	return nil
}
