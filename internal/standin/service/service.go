package service

import (
	"net"
	"sync"
	"time"

	"cicadaslip/internal/standin/faultnet"
)

// Faults are the faults in force. Control replaces them as a whole.
type Faults struct {
	DelayMS     int  `json:"delay_ms"`     // before a call runs
	LateMS      int  `json:"late_ms"`      // between the run and the answer
	LoseAnswers bool `json:"lose_answers"` // calls run, then the connection is closed
	LoseCalls   bool `json:"lose_calls"`   // the connection is closed before the call runs
	SilentNow   bool `json:"silent_now"`   // connections are silent before the call runs
	SilentAfter bool `json:"silent_after"` // calls run, then the connection is silent
	Crossed     bool `json:"crossed"`      // answers name another request
	Fail        bool `json:"fail"`         // calls run and are answered with status 500
	Refuse      bool `json:"refuse"`       // connections are refused
	Times       int  `json:"times"`        // calls hit by the faults; 0 means all
}

// Call is one call that the service ran.
type Call struct {
	At           time.Time `json:"at"`
	Kind         string    `json:"kind"`
	Organisation string    `json:"organisation"`
	Request      string    `json:"request"`
	Key          string    `json:"key"`
	Body         string    `json:"body"`
	Answered     bool      `json:"answered"` // the answer was handed to the connection
}

// Service is a stand-in service.
type Service struct {
	mu       sync.Mutex
	faults   Faults
	calls    []Call
	address  string
	listener *faultnet.Listener
}

// New returns a service that listens on address.
func New(address string) (*Service, error) {
	s := &Service{}
	if err := s.listen(address); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Service) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	s.listener = faultnet.New(l)
	go serve(s.listener, s.handle)
	return nil
}

// Address returns the address that the service listens on.
func (s *Service) Address() string { return s.address }

// Calls returns the calls that ran, oldest first.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call{}, s.calls...)
}

// SetFaults replaces the faults in force.
func (s *Service) SetFaults(f Faults) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	refused := s.faults.Refuse
	s.faults = f
	switch {
	case f.Refuse && !refused:
		return s.listener.Close()
	case !f.Refuse && refused:
		return s.listen(s.address)
	}
	return nil
}

// Close closes the listener and all connections.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	s.listener.CloseAll()
}

// take returns the faults for one call and counts them down.
func (s *Service) take() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if s.faults.Times > 0 {
		if s.faults.Times--; s.faults.Times == 0 {
			s.faults = Faults{}
		}
	}
	return f
}

// run records a call and returns its position in the record, from 1.
func (s *Service) run(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.At = time.Now()
	s.calls = append(s.calls, c)
	return len(s.calls)
}

func (s *Service) markAnswered(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[number-1].Answered = true
}
