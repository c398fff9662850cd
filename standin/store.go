// Package standin implements fakes of the users' platform for tests and for the soak test: its
// object store, model endpoints, plain endpoints and the weights origin. They implement the
// platform's protocol over HTTP.
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

// Store is an in-memory fake of the platform's object store. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	era      int64
	revision int64
	// objects contains the objects by kind and name.
	objects map[string]map[string]storedObject
	history []change
	// compactedAt is the revision up to which the history was dropped.
	compactedAt int64
	// changed is closed at the next change.
	changed chan struct{}
	fault   StoreFault
	// lateShare is the share of writes that get no answer and are applied later.
	lateShare float64
}

// StoreFault describes how the store fails.
type StoreFault struct {
	// Status, if not 0, is the status of every response.
	Status int
	// Unresponsive makes calls hang until the client cancels them.
	Unresponsive bool
	// LoseResponses makes the store close the connection of each write after applying it.
	LoseResponses bool
}

type metadata struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// Created is the revision at which the object was created.
	Created int64 `json:"made"`
}

type storedObject struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type change struct {
	kind    string
	object  storedObject
	deleted bool
}

// NewStore returns an empty Store.
func NewStore() *Store {
	return &Store{era: 1, objects: map[string]map[string]storedObject{}, changed: make(chan struct{})}
}

// SetFault sets the fault of the store. The zero value makes it work again.
func (s *Store) SetFault(f StoreFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Available returns whether no fault makes every call fail.
func (s *Store) Available() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault.Status == 0 && !s.fault.Unresponsive
}

// DropHistory discards the history of changes, so that watches from an earlier revision fail.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.compactedAt = s.revision
	s.history = nil
}

// Put writes an object, as the operator and endpoints do, and returns its revision. The revision
// does not change if the object has the same spec already.
func (s *Store) Put(kind, name string, spec any) int64 {
	data, _ := json.Marshal(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(kind, name, data).Metadata.Revision
}

// Delete deletes an object, if it exists.
func (s *Store) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

// put writes an object and returns it. The caller holds s.mu.
func (s *Store) put(kind, name string, spec json.RawMessage) storedObject {
	old, found := s.objects[kind][name]
	if found && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := storedObject{Metadata: metadata{Name: name, Revision: s.revision, Created: s.revision}, Spec: spec}
	if found {
		o.Metadata.Created = old.Metadata.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	s.objects[kind][name] = o
	s.addChange(change{kind: kind, object: o})
	return o
}

// remove deletes an object and returns whether it existed. The caller holds s.mu.
func (s *Store) remove(kind, name string) bool {
	o, found := s.objects[kind][name]
	if !found {
		return false
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.addChange(change{kind: kind, object: o, deleted: true})
	return true
}

func (s *Store) addChange(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	fault, era := s.fault, s.era
	s.mu.Unlock()
	w.Header().Set(EraHeader, strconv.FormatInt(era, 10))
	switch {
	case fault.Unresponsive:
		<-r.Context().Done()
	case fault.Status != 0:
		http.Error(w, "fault", fault.Status)
	case r.Method == http.MethodGet && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	default:
		s.write(w, r, kind, name)
		if fault.LoseResponses {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, found := s.objects[kind][name]
	s.mu.Unlock()
	if !found {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]storedObject, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	writeJSON(w, http.StatusOK, struct {
		Items []storedObject `json:"items"`
		More  bool           `json:"more"`
		At    int64          `json:"at"`
	}{items, false, at})
}

type event struct {
	Deleted bool         `json:"gone"`
	Object  storedObject `json:"object"`
}

// watch responds with the changes after a revision. If there are none, it waits for the next or
// until wait_ms have passed.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	timeout := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timeout.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		dropped, at, changed := since < s.compactedAt || since > s.revision, s.revision, s.changed
		w.Header().Set(EraHeader, strconv.FormatInt(s.era, 10))
		events := s.eventsSince(kind, since)
		s.mu.Unlock()
		if dropped {
			http.Error(w, "history was dropped", http.StatusGone)
			return
		}
		if len(events) > 0 || timedOut {
			writeJSON(w, http.StatusOK, struct {
				Events []event `json:"events"`
				At     int64   `json:"at"`
			}{events, at})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the changes of a kind after a revision. The caller holds s.mu.
func (s *Store) eventsSince(kind string, revision int64) []event {
	out := []event{}
	for _, c := range s.history {
		if c.kind == kind && c.object.Metadata.Revision > revision {
			out = append(out, event{Deleted: c.deleted, Object: c.object})
		}
	}
	return out
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var o storedObject
	if r.Method != http.MethodDelete && json.Unmarshal(data, &o) != nil {
		http.Error(w, "invalid object", http.StatusBadRequest)
		return
	}
	revision, _ := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if d := s.drawLate(); d > 0 {
		time.AfterFunc(d, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.apply(r.Method, kind, name, o, revision)
		})
		panic(http.ErrAbortHandler)
	}
	status, answer := s.apply(r.Method, kind, name, o, revision)
	writeJSON(w, status, answer)
}

// apply carries out a write and returns the status and the body of its answer. A revision that is not 0 is
// the condition of a deletion. The caller holds s.mu.
func (s *Store) apply(method, kind, name string, o storedObject, revision int64) (int, any) {
	switch method {
	case http.MethodPost:
		if old, found := s.objects[kind][o.Metadata.Name]; found {
			return http.StatusConflict, old
		}
		return http.StatusCreated, s.put(kind, o.Metadata.Name, o.Spec)
	case http.MethodPut:
		return http.StatusOK, s.put(kind, name, o.Spec)
	case http.MethodDelete:
		if old, found := s.objects[kind][name]; found && revision != 0 && old.Metadata.Revision != revision {
			return http.StatusConflict, old
		}
		if !s.remove(kind, name) {
			return http.StatusNotFound, nil
		}
	}
	return http.StatusOK, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	data, _ := json.Marshal(v)
	_, _ = w.Write(replaceNested(data)) // fails only if the client has disconnected
}
