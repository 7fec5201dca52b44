package gateway

import (
	"cmp"
	"slices"
)

// Unanswered describes the requests in flight, the earliest first, as they are now. Their
// handlers go on meanwhile.
func (s *Server) Unanswered() []Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	summaries := make([]Summary, 0, len(s.calls))
	for c := range s.calls {
		summaries = append(summaries, c.summary())
	}
	slices.SortFunc(summaries, func(a, b Summary) int { return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID)) })
	return summaries
}

// BusyConnections returns the number of connections of callers from which a part of a request
// has been read, or to which an answer is being sent.
func (s *Server) BusyConnections() int {
	if callers := s.callers.Load(); callers != nil {
		return callers.Busy()
	}
	return 0
}

// Connections are the connections of callers.
type Connections struct {
	Open    int64
	Limit   int64
	Refused int64 // since the start
}

// Connections returns how many connections of callers are open and were refused.
func (s *Server) Connections() Connections {
	c := Connections{Limit: int64(s.opt.MaxConnections)}
	if callers := s.callers.Load(); callers != nil {
		c.Open, c.Refused = callers.Open(), callers.Refused()
	}
	return c
}
