package replay

import (
	"encoding/json"
	"io"
	"sync"
	"time"

	"cicadaslip/internal/errs"
)

// Recorder writes a trace. It is safe for concurrent use, so that a daemon can
// record its arrivals with it.
type Recorder struct {
	mu   sync.Mutex
	to   io.Writer
	last time.Duration
}

// NewRecorder writes the header. The error is an *errs.Error.
func NewRecorder(to io.Writer, header Header) (*Recorder, error) {
	header.Version = Version
	if err := header.validate(); err != nil {
		return nil, err
	}
	r := &Recorder{to: to}
	if err := r.write(header); err != nil {
		return nil, err
	}
	return r, nil
}

// Arrival writes one request that arrived at the given time since the start of
// the trace.
func (r *Recorder) Arrival(at time.Duration, arrival Arrival) error {
	return r.Write(Record{At: at, Arrival: &arrival})
}

// Write writes one record. Concurrent writers can be late by the time between
// their reading of the clock and the write: such a time is raised to that of
// the former record, because the times of a trace never fall.
func (r *Recorder) Write(record Record) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	record.At = max(record.At, r.last)
	if err := r.write(record); err != nil {
		return err
	}
	r.last = record.At
	return nil
}

func (r *Recorder) write(value any) error {
	line, err := json.Marshal(value)
	if err != nil {
		return errs.Wrap(err, errs.Internal, "a record cannot be encoded")
	}
	if len(line) >= MaxLineBytes {
		return errs.New(errs.TooLarge, "a record is over the limit of one line")
	}
	if _, err := r.to.Write(append(line, '\n')); err != nil {
		return errs.Wrap(err, errs.Internal, "a record cannot be written")
	}
	return nil
}

// WriteAll writes a whole trace.
func WriteAll(to io.Writer, trace *Trace) error {
	recorder, err := NewRecorder(to, trace.Header)
	if err != nil {
		return err
	}
	for _, record := range trace.Records {
		if err := recorder.Write(record); err != nil {
			return err
		}
	}
	return nil
}
