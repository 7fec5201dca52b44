package arrivals

import (
	"slices"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// Arrival is one request as it arrived, with the length of its answer.
type Arrival struct {
	At           time.Time
	DataCentre   string // of the entry VM
	ID           model.RequestID
	Organisation string
	Adapter      model.AdapterVersion // zero for services
	Kind         string
	Class        model.TargetClass
	Served       string // base model or application
	PromptTokens int
	OutputTokens int // predicted until the answer is complete
	Prefix       []uint64
	Deadline     time.Duration // after arrival
	Worth        float64
	Repeatable   bool
}

// Log is the ring. It is safe for concurrent use.
type Log struct {
	dataCentre string

	mu    sync.Mutex
	slots []Arrival
	count int                     // arrivals since the start
	at    map[model.RequestID]int // position in slots
}

// NewLog returns a ring of the given number of arrivals, at least one.
func NewLog(capacity int, dataCentre string) *Log {
	return &Log{dataCentre: dataCentre, slots: make([]Arrival, max(capacity, 1)), at: map[model.RequestID]int{}}
}

// Arrived enters a request. The oldest one is overwritten when the ring is full.
func (l *Log) Arrived(now time.Time, id model.RequestID, request core.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.at[id]; known {
		return // a later attempt of the same request
	}
	slot := l.count % len(l.slots)
	delete(l.at, l.slots[slot].ID)
	served := request.BaseModel
	if request.Class == model.ClassService {
		served = request.Application
	}
	l.slots[slot] = Arrival{
		At: now, DataCentre: l.dataCentre, ID: id, Organisation: request.Organisation, Adapter: request.Adapter,
		Kind: request.Kind, Class: request.Class, Served: served, PromptTokens: request.PromptTokens,
		OutputTokens: request.PredictedTokens, Prefix: slices.Clone(request.PrefixHashes),
		Deadline: request.Deadline, Worth: request.Worth, Repeatable: request.Repeatable,
	}
	l.at[id] = slot
	l.count++
}

// Answered enters the length of a complete answer.
func (l *Log) Answered(id model.RequestID, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slot, known := l.at[id]; known && tokens > 0 {
		l.slots[slot].OutputTokens = tokens
	}
}

// Since returns up to limit of the newest arrivals from a time on, the oldest
// first, and how many the limit left out.
func (l *Log) Since(from time.Time, limit int) (found []Arrival, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := max(0, l.count-len(l.slots)); i < l.count; i++ {
		if arrival := l.slots[i%len(l.slots)]; !arrival.At.Before(from) {
			found = append(found, arrival)
		}
	}
	omitted = max(0, len(found)-limit)
	return found[omitted:], omitted
}
