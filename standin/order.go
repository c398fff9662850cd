package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

// order is the body of a request to load or unload weights.
type order struct {
	Version int64 `json:"version"`
	// Expected is the sequence for which the order was made.
	Expected int64 `json:"expected_revision"`
	// From and To are the first layer and the layer after the last. They are absent if the
	// order is for all layers.
	From *int `json:"from"`
	To   *int `json:"target_version"`
}

// isUnload returns whether the range of layers is empty.
func (o *order) isUnload() bool {
	return o.From != nil && o.To != nil && *o.From >= *o.To
}

func (r *Runner) handleOrder(w http.ResponseWriter, q *http.Request) {
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		http.Error(w, "invalid order", http.StatusBadRequest)
		return
	}
	if !r.acceptOrder(&o) {
		http.Error(w, "expected_revision does not match the sequence", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
	if o.isUnload() {
		r.writeRecord()
		return
	}
	time.AfterFunc(r.cfg.LoadTime, func() {
		r.mu.Lock()
		r.version, r.loading = o.Version, false
		r.mu.Unlock()
		r.writeRecord()
	})
}

// acceptOrder starts an order, or returns false if another one is under way or Expected is not the current
// sequence.
func (r *Runner) acceptOrder(o *order) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loading || o.Expected != r.sequence {
		return false
	}
	r.sequence++
	if o.isUnload() {
		r.version = 0
		return true
	}
	for i, data := range r.staged {
		if !bytes.Equal(data, Chunk(o.Version, i)) {
			r.cfg.Recorder.AddViolation("runner %s was ordered to load version %d with chunk %d missing or corrupt", r.cfg.ID, o.Version, i)
		}
	}
	r.version, r.loading = 0, true
	if r.cfg.AbortOnLoad {
		r.abortStreamsLocked()
	}
	return true
}

func (r *Runner) handleStage(w http.ResponseWriter, q *http.Request) {
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
