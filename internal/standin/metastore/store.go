package metastore

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	prefix    = "/cicadaslip/objects/"
	eraHeader = "Store-Era"
)

// Fault is how the store misbehaves.
type Fault string

// Faults.
const (
	None   Fault = ""
	Refuse Fault = "refuse" // 503
	Busy   Fault = "busy"   // 429
	Silent Fault = "silent" // no answer
	Lost   Fault = "lost"   // writes are done and not answered
)

type meta struct {
	Name           string   `json:"name"`
	Revision       int64    `json:"revision"`
	CreateRevision int64    `json:"create_revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type object struct {
	Metadata meta            `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type change struct {
	Kind      string    `json:"-"`
	At        time.Time `json:"-"`
	Object    object    `json:"object"`
	Tombstone bool      `json:"tombstone"`
}

// reply is what the store answers to one call, with the era in which it was worked out.
type reply struct {
	era    int64
	status int
	body   any // nil for none
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	changed  *sync.Cond
	objects  map[string]map[string]object // by kind and name
	log      []change                     // all changes that led to objects, in order of their revisions
	oldest   int64                        // watches may begin at this revision or later
	revision int64
	era      int64
	fault    Fault
	calls    map[string]int
	closed   bool
	hung     chan struct{} // closed when silent calls may end
	gates    []*gate
	cutting  bool // watches of a former era are cut
}

// firstRevision is the revision of an empty store.
const firstRevision = 1

// Start starts a store on loopback.
func Start(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, objects: map[string]map[string]object{}, revision: firstRevision, oldest: firstRevision, era: 1, calls: map[string]int{}, hung: make(chan struct{})}
	s.changed = sync.NewCond(&s.mu)
	s.server = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Address returns the ip:port of the store.
func (s *Store) Address() string { return s.listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	s.mu.Lock()
	s.closed = true
	for _, g := range s.gates {
		g.open()
	}
	s.changed.Broadcast()
	s.mu.Unlock()
	s.SetFault(None)
	_ = s.server.Close()
}

// SetFault makes the store misbehave from now on.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault == Silent && f != Silent {
		close(s.hung)
		s.hung = make(chan struct{})
	}
	s.fault = f
	s.changed.Broadcast()
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.changed.Broadcast()
}

// ListCalls is the name under which Calls counts the GET calls that list a kind.
const ListCalls = "LIST"

// Calls returns the number of calls by method.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Put writes an object as another writer would, whatever the fault.
func (s *Store) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, raw)
	return nil
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// Spec returns the spec of an object, nil if there is none.
func (s *Store) Spec(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	o, exists := s.objects[kind][name]
	if exists && string(o.Spec) == string(spec) {
		return o
	}
	s.revision++
	if !exists {
		o.Metadata = meta{Name: name, CreateRevision: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.note(change{Kind: kind, Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o, exists := s.objects[kind][name]
	if !exists {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.note(change{Kind: kind, Object: o, Tombstone: true})
}

func (s *Store) note(c change) {
	c.At = time.Now()
	s.log = append(s.log, c)
	s.changed.Broadcast()
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefix), "/")
	s.mu.Lock()
	s.calls[r.Method]++
	fault, hung := s.fault, s.hung
	s.mu.Unlock()
	s.pass(r.Method, kind, beforeCall)
	var a reply
	switch {
	case fault == Silent:
		<-hung
		panic(http.ErrAbortHandler)
	case fault == Refuse:
		a = s.reply(http.StatusServiceUnavailable)
	case fault == Busy:
		a = s.reply(http.StatusTooManyRequests)
	case r.Method != http.MethodGet:
		a = s.write(r, kind, name)
	case r.URL.Query().Get("watch") != "":
		a = s.watch(r, kind)
	default:
		a = s.read(r, kind, name)
	}
	s.pass(r.Method, kind, beforeAnswer)
	if fault == Lost && r.Method != http.MethodGet {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(eraHeader, strconv.FormatInt(a.era, 10))
	if a.body == nil {
		w.WriteHeader(a.status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a.body)
}

func (s *Store) reply(status int) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	return reply{era: s.era, status: status}
}

func (s *Store) read(r *http.Request, kind, name string) reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, exists := s.objects[kind][name]
		if !exists {
			return reply{era: s.era, status: http.StatusNotFound}
		}
		return reply{s.era, http.StatusOK, o}
	}
	s.calls[ListCalls]++
	items := []object{}
	for n, o := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	return reply{s.era, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.revision}}
}

func (s *Store) watch(r *http.Request, kind string) reply {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	since = max(since, firstRevision) // zero: from the beginning
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.AfterFunc(time.Duration(wait)*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer timer.Stop()
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for began := s.era; ; s.changed.Wait() {
		if s.cutting && s.era > began {
			panic(http.ErrAbortHandler)
		}
		if since < s.oldest || since > s.revision {
			return reply{era: s.era, status: http.StatusGone}
		}
		events := s.changesSince(kind, since)
		if s.fault == Silent {
			hung := s.hung
			s.mu.Unlock()
			<-hung
			s.mu.Lock()
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || s.closed || !time.Now().Before(end) {
			return reply{s.era, http.StatusOK, map[string]any{"events": events, "at": s.revision}}
		}
	}
}

// changesSince returns the changes of a kind after a revision. The caller holds the lock.
func (s *Store) changesSince(kind string, revision int64) []change {
	var events []change
	for i := len(s.log) - 1; i >= 0 && s.log[i].Object.Metadata.Revision > revision; i-- {
		if s.log[i].Kind == kind {
			events = append(events, s.log[i])
		}
	}
	slices.Reverse(events)
	return events
}

func (s *Store) write(r *http.Request, kind, name string) reply {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			return s.reply(http.StatusBadRequest)
		}
	}
	if name == "" {
		name = o.Metadata.Name
	}
	expected := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, result := s.apply(r.Method, kind, name, expected, o.Spec)
	return reply{s.era, status, result}
}

// apply carries out a write. The caller holds the lock.
func (s *Store) apply(method, kind, name string, expected int64, spec json.RawMessage) (int, object) {
	o, exists := s.objects[kind][name]
	switch {
	case method == http.MethodPost && exists:
		return http.StatusConflict, o
	case method != http.MethodPost && !exists:
		return http.StatusNotFound, o
	case exists && expected > 0 && expected != o.Metadata.Revision:
		return http.StatusConflict, o
	case method == http.MethodDelete:
		s.remove(kind, name)
		return http.StatusOK, o
	}
	return http.StatusOK, s.put(kind, name, spec)
}
