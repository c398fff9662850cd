// Package standin has small stand-ins that speak the protocol of the users'
// platform: its object store, model and plain endpoints and an origin of
// weights. They are for tests and for the fault soak.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in of the platform's object store. It is safe for
// concurrent use.
type Store struct {
	mu       sync.Mutex
	revision int64
	kinds    map[string]map[string]stored
	events   []change
	oldest   int64
	changed  chan struct{}
	fault    StoreFault
}

// StoreFault is how the store misbehaves.
type StoreFault struct {
	// Status is the answer to every call, if it is not 0.
	Status int
	// Silent makes calls wait until their caller gives up.
	Silent bool
	// LostAnswers makes writes be done and their connections be closed.
	LostAnswers bool
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type stored struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type change struct {
	kind   string
	object stored
	gone   bool
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{kinds: map[string]map[string]stored{}, changed: make(chan struct{})}
}

// SetFault changes how the store misbehaves.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Answers returns whether the store takes calls now.
func (s *Store) Answers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Status == 0 && !s.fault.Silent
}

// Forget drops the history of changes.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.events = nil
}

// Put writes an object and returns its revision, as the operator and endpoints do.
func (s *Store) Put(kind, name string, spec any) int64 {
	data, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, data).Metadata.Revision
}

// Delete removes an object.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) put(kind, name string, spec json.RawMessage) stored {
	if old, found := s.kinds[kind][name]; found && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := stored{Metadata: metadata{Name: name, Revision: s.revision}, Spec: spec}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]stored{}
	}
	s.kinds[kind][name] = o
	s.note(change{kind: kind, object: o})
	return o
}

func (s *Store) remove(kind, name string) bool {
	o, found := s.kinds[kind][name]
	if !found {
		return false
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.note(change{kind: kind, object: o, gone: true})
	return true
}

func (s *Store) note(c change) {
	s.events = append(s.events, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	switch {
	case fault.Silent:
		<-r.Context().Done()
	case fault.Status != 0:
		http.Error(w, "fault", fault.Status)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	default:
		s.write(w, r, kind, name)
		if fault.LostAnswers {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]stored, 0, len(s.kinds[kind]))
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, struct {
		Items []stored `json:"items"`
		More  bool     `json:"more"`
		At    int64    `json:"at"`
	}{items, false, at})
}

type event struct {
	Gone   bool   `json:"gone"`
	Object stored `json:"object"`
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		gone, at, changed := from < s.oldest, s.revision, s.changed
		events := s.since(kind, from)
		s.mu.Unlock()
		if gone {
			http.Error(w, "history gone", http.StatusGone)
			return
		}
		if len(events) > 0 || over {
			answer(w, http.StatusOK, struct {
				Events []event `json:"events"`
				At     int64   `json:"at"`
			}{events, at})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the changes of kind after a revision. The caller holds the lock.
func (s *Store) since(kind string, from int64) []event {
	out := []event{}
	for _, c := range s.events {
		if c.kind == kind && c.object.Metadata.Revision > from {
			out = append(out, event{Gone: c.gone, Object: c.object})
		}
	}
	return out
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o stored
	if r.Method != http.MethodDelete && json.Unmarshal(data, &o) != nil {
		http.Error(w, "not an object", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch r.Method {
	case http.MethodPost:
		if old, found := s.kinds[kind][o.Metadata.Name]; found {
			answer(w, http.StatusConflict, old)
			return
		}
		answer(w, http.StatusCreated, s.put(kind, o.Metadata.Name, o.Spec))
	case http.MethodPut:
		answer(w, http.StatusOK, s.put(kind, name, o.Spec))
	case http.MethodDelete:
		if !s.remove(kind, name) {
			http.NotFound(w, r)
		}
	}
}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
