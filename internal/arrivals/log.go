package arrivals

import (
	"slices"
	"sync"
	"time"

	"cicadaslip/internal/core"
	"cicadaslip/internal/model"
)

// Arrival describes one request as it arrived, and the length of its answer.
type Arrival struct {
	At           time.Time
	DataCentre   string // data centre of the VM at which the request arrived
	ID           model.RequestID
	Organisation string
	Adapter      model.AdapterVersion // zero for a request to a service
	Kind         string
	Class        model.TargetClass
	Served       string // base model, or the application for a request to a service
	PromptTokens int
	OutputTokens int           // predicted length, replaced by the actual one when the answer is complete
	Prefix       []uint64      // hashes of the prefix blocks of the prompt
	Deadline     time.Duration // time from arrival to the deadline
	Worth        float64
	Repeatable   bool
}

// Log is a ring buffer of arrivals. It is safe for concurrent use.
type Log struct {
	dataCentre string

	mu       sync.Mutex
	slots    []Arrival
	total    int                     // arrivals added since the log was created
	slotByID map[model.RequestID]int // index into slots
}

// NewLog returns a log that keeps the given number of arrivals, at least one.
func NewLog(capacity int, dataCentre string) *Log {
	return &Log{dataCentre: dataCentre, slots: make([]Arrival, max(capacity, 1)), slotByID: map[model.RequestID]int{}}
}

// AddRequest adds a request, unless the log already contains its ID. If the log is full, the
// request overwrites the oldest one.
func (l *Log) AddRequest(arrivedAt time.Time, id model.RequestID, request core.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, found := l.slotByID[id]; found {
		return // a later attempt of the same request
	}
	slot := l.total % len(l.slots)
	delete(l.slotByID, l.slots[slot].ID)
	served := request.BaseModel
	if request.Class == model.ClassService {
		served = request.Application
	}
	l.slots[slot] = Arrival{
		At: arrivedAt, DataCentre: l.dataCentre, ID: id, Organisation: request.Organisation, Adapter: request.Adapter,
		Kind: request.Kind, Class: request.Class, Served: served, PromptTokens: request.PromptTokens,
		OutputTokens: request.PredictedTokens, Prefix: slices.Clone(request.PrefixHashes),
		Deadline: request.Deadline, Worth: request.Worth, Repeatable: request.Repeatable,
	}
	l.slotByID[id] = slot
	l.total++
}

// SetOutputTokens sets the length of the complete answer to a request. It does
// nothing if tokens is not positive or the log no longer contains the request.
func (l *Log) SetOutputTokens(id model.RequestID, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slot, found := l.slotByID[id]; found && tokens > 0 {
		l.slots[slot].OutputTokens = tokens
	}
}

// Since returns the arrivals that are not earlier than from, the oldest first. If
// there are more than limit, it returns the newest ones and the number of omitted
// older ones.
func (l *Log) Since(from time.Time, limit int) (arrivals []Arrival, omitted int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := max(0, l.total-len(l.slots)); i < l.total; i++ {
		if arrival := l.slots[i%len(l.slots)]; !arrival.At.Before(from) {
			arrivals = append(arrivals, arrival)
		}
	}
	omitted = max(0, len(arrivals)-limit)
	return arrivals[omitted:], omitted
}
