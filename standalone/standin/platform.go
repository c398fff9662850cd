// Package standin has small stand-ins for the systems that silverdeck meets:
// the platform, the origin, a model engine and a plain service. Each speaks
// the published protocol and fails on demand. They serve demos and tests.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/silverdeck/silverdeck/standalone/objectstore"
)

// MaxValue is the largest value that the platform holds, in bytes.
const MaxValue = 1 << 20

// PlatformFaults says how the platform misbehaves.
type PlatformFaults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// SlowMillis delays every call.
	SlowMillis int `json:"slowMillis"`
	// LoseAnswers is how many of the next writes are taken without an answer.
	LoseAnswers int `json:"loseAnswers"`
	// ListLagMillis is how long a new list of VMs stays unseen.
	ListLagMillis int `json:"listLagMillis"`
}

// PlatformCounters counts calls.
type PlatformCounters struct {
	Reads, Writes, Limited int
}

// Platform is the stand-in of the platform's object API and list of VMs.
type Platform struct {
	mux    *http.ServeMux
	reads  *rate.Limiter
	writes *rate.Limiter

	mu       sync.Mutex
	values   map[string]objectstore.Value
	list     objectstore.VMList
	changed  chan struct{}
	faults   PlatformFaults
	counters PlatformCounters
}

// NewPlatform returns a Platform that takes so many reads and writes a second.
func NewPlatform(reads, writes float64) *Platform {
	p := &Platform{
		mux:     http.NewServeMux(),
		reads:   rate.NewLimiter(rate.Limit(reads), int(reads)),
		writes:  rate.NewLimiter(rate.Limit(writes), int(writes)),
		values:  map[string]objectstore.Value{},
		changed: make(chan struct{}),
	}
	p.mux.HandleFunc("GET /v1/objects/{key}", p.limited(p.reads, p.get))
	p.mux.HandleFunc("PUT /v1/objects/{key}", p.limited(p.writes, p.put))
	p.mux.HandleFunc("GET /v1/vms", p.limited(p.reads, p.vms))
	p.mux.HandleFunc("PUT /admin/vms", p.setVMs)
	p.mux.HandleFunc("PUT /admin/faults", p.setFaults)
	p.mux.HandleFunc("GET /admin/counters", p.getCounters)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mux.ServeHTTP(w, r)
}

// SetFaults changes how the platform misbehaves from now on.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// SetVMs replaces the list of VMs.
func (p *Platform) SetVMs(vms []objectstore.VM) {
	p.mu.Lock()
	lag := time.Duration(p.faults.ListLagMillis) * time.Millisecond
	p.mu.Unlock()
	set := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.list = objectstore.VMList{Version: p.list.Version + 1, VMs: vms}
		p.wake()
	}
	if lag == 0 {
		set()
		return
	}
	time.AfterFunc(lag, set)
}

// wake ends all waits. The caller holds the lock.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Platform) limited(l *rate.Limiter, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		f := p.faults
		if l == p.reads {
			p.counters.Reads++
		} else {
			p.counters.Writes++
		}
		allowed := l.Allow()
		if !allowed {
			p.counters.Limited++
		}
		p.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMillis) * time.Millisecond)
		switch {
		case f.Down:
			panic(http.ErrAbortHandler)
		case !allowed:
			http.Error(w, "too many calls", http.StatusTooManyRequests)
		default:
			h(w, r)
		}
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	since := int64(-1)
	if s := r.URL.Query().Get("watch"); s != "" {
		since, _ = strconv.ParseInt(s, 10, 64)
	}
	var v objectstore.Value
	ok := p.await(r, func() bool {
		v = p.values[key]
		return v.Version > since
	})
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotModified)
	case v.Version == 0:
		http.Error(w, "no such key", http.StatusNotFound)
	default:
		w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(v.Version, 10)))
		_, _ = w.Write(v.Data)
	}
}

func (p *Platform) vms(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	var l objectstore.VMList
	ok := p.await(r, func() bool {
		l = p.list
		return l.Version > since
	})
	if !ok {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_ = json.NewEncoder(w).Encode(l)
}

// await returns true once ready does, under the lock, or false when the wait
// that the caller asked for is over. A platform that goes down cuts the call.
func (p *Platform) await(r *http.Request, ready func() bool) bool {
	seconds, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(seconds)*time.Second)
	defer cancel()
	for {
		p.mu.Lock()
		done, changed, down := ready(), p.changed, p.faults.Down
		p.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
		}
	}
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	version, taken, lost := p.write(r.PathValue("key"), r.Header, b)
	switch {
	case !taken:
		http.Error(w, "another version", http.StatusPreconditionFailed)
	case lost:
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("ETag", strconv.Quote(strconv.FormatInt(version, 10)))
		w.WriteHeader(http.StatusOK)
	}
}

func (p *Platform) write(key string, h http.Header, b []byte) (version int64, taken, lost bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.values[key].Version
	if h.Get("If-None-Match") == "*" && old != 0 {
		return old, false, false
	}
	if m := h.Get("If-Match"); m != "" && strings.Trim(m, `"`) != strconv.FormatInt(old, 10) {
		return old, false, false
	}
	p.values[key] = objectstore.Value{Data: b, Version: old + 1}
	p.wake()
	if p.faults.LoseAnswers > 0 {
		p.faults.LoseAnswers--
		return old + 1, true, true
	}
	return old + 1, true, false
}

func (p *Platform) setVMs(w http.ResponseWriter, r *http.Request) {
	var vms []objectstore.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f PlatformFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) getCounters(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(p.counters)
}
