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

const prefix = "/cicadaslip/objects/"

// Fault is how the store misbehaves.
type Fault string

// Faults.
const (
	None   Fault = ""
	Refuse Fault = "refuse" // 503
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
	Kind      string `json:"-"`
	Object    object `json:"object"`
	Tombstone bool   `json:"tombstone"`
}

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	server   *http.Server
	listener net.Listener

	mu       sync.Mutex
	changed  *sync.Cond
	objects  map[string]map[string]object // by kind and name
	history  []change
	oldest   int64 // history is kept after this revision
	revision int64
	fault    Fault
	calls    map[string]int
	closed   bool
	hung     chan struct{} // closed when silent calls may end
}

// Start starts a store on loopback.
func Start(address string) (*Store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, objects: map[string]map[string]object{}, revision: 1, calls: map[string]int{}, hung: make(chan struct{})}
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
	s.history, s.oldest = nil, s.revision
	s.changed.Broadcast()
}

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
	s.history = append(s.history, c)
	s.changed.Broadcast()
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, prefix), "/")
	s.mu.Lock()
	s.calls[r.Method]++
	fault, hung := s.fault, s.hung
	s.mu.Unlock()
	switch {
	case fault == Refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case fault == Silent:
		<-hung
		panic(http.ErrAbortHandler)
	}
	switch r.Method {
	case http.MethodGet:
		s.read(w, r, kind, name)
	default:
		s.write(w, r, kind, name, fault)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request, kind, name string) {
	if since := r.URL.Query().Get("watch"); since != "" {
		s.watch(w, r, kind, since)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if name != "" {
		o, exists := s.objects[kind][name]
		if !exists {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, o)
		return
	}
	items := []object{}
	for n, o := range s.objects[kind] {
		if n > r.URL.Query().Get("after") {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "at": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, text string) {
	since, _ := strconv.ParseInt(text, 10, 64) // zero: from the beginning
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timer := time.AfterFunc(time.Duration(wait)*time.Millisecond, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.changed.Broadcast()
	})
	defer timer.Stop()
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	for {
		if since < s.oldest {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var events []change
		for _, c := range s.history {
			if c.Kind == kind && c.Object.Metadata.Revision > since {
				events = append(events, c)
			}
		}
		fault, hung := s.fault, s.hung
		if fault == Silent {
			s.mu.Unlock()
			<-hung
			panic(http.ErrAbortHandler)
		}
		if len(events) > 0 || s.closed || !time.Now().Before(end) {
			at := s.revision
			s.mu.Unlock()
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		s.changed.Wait()
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string, fault Fault) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if name == "" {
		name = o.Metadata.Name
	}
	expected := o.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		expected, _ = strconv.ParseInt(text, 10, 64)
	}
	status, body := s.apply(r.Method, kind, name, expected, o.Spec)
	if fault == Lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, status, body)
}

func (s *Store) apply(method, kind, name string, expected int64, spec json.RawMessage) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
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
