package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// order is what an endpoint is told to do.
type order struct {
	Version  int64 `json:"version"`
	Expected int64 `json:"expected_revision"`
	// From and To, the layer after the last, are set where not all are meant.
	From *int `json:"from"`
	To   *int `json:"target_version"`
}

// unloads returns whether the order leaves no layer.
func (o *order) unloads() bool {
	return o.From != nil && o.To != nil && *o.From >= *o.To
}

func (r *Runner) order(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		http.Error(w, "no order", http.StatusBadRequest)
		return
	}
	if !r.take(&o) {
		http.Error(w, "another sequence", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
	if o.unloads() {
		r.record()
		return
	}
	time.AfterFunc(warmTime, func() {
		r.mu.Lock()
		r.version = o.Version
		r.mu.Unlock()
		r.record()
	})
}

// take begins an order, or returns false where it was given for another state.
func (r *Runner) take(o *order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o.Expected != r.sequence {
		return false
	}
	r.sequence++
	if o.unloads() {
		r.version = 0
		return true
	}
	for i, data := range r.staged {
		if !bytes.Equal(data, Chunk(o.Version, i)) {
			r.cfg.Witness.Broken("runner %s was ordered to load version %d with chunk %d missing or spoilt", r.cfg.ID, o.Version, i)
		}
	}
	if r.cfg.LoadCuts {
		r.cutStreams()
	}
	return true
}

func (r *Runner) stage(w http.ResponseWriter, q *http.Request) {
	i, err := strconv.Atoi(q.URL.Query().Get("num"))
	if err != nil || i < 0 || i >= Chunks {
		http.Error(w, "no such chunk", http.StatusBadRequest)
		return
	}
	if q.Method == http.MethodPut {
		data, err := io.ReadAll(q.Body)
		if err == nil {
			r.mu.Lock()
			r.staged[i] = data
			r.mu.Unlock()
		}
		return
	}
	r.mu.Lock()
	data := r.staged[i]
	r.mu.Unlock()
	if data == nil {
		http.NotFound(w, q)
		return
	}
	_, _ = w.Write(data)
}
