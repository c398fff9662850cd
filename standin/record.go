package standin

import "time"

// Drain sets the state in the runner's record to draining.
func (r *Runner) Drain() {
	r.mu.Lock()
	r.draining = true
	r.mu.Unlock()
	r.writeRecord()
}

// ExpireRecord deletes the runner's record, as the platform does with the records of endpoints
// whose heartbeats fail.
func (r *Runner) ExpireRecord() {
	r.cfg.Store.Delete("servers", r.cfg.ID)
}

// Heartbeat writes the runner's record, unless the runner is loading weights. It restores a record that has
// expired.
func (r *Runner) Heartbeat() {
	if !r.isLoading() {
		r.writeRecord()
	}
}

func (r *Runner) isLoading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.loading
}

func (r *Runner) writeRecord() {
	r.mu.Lock()
	if r.gone {
		r.mu.Unlock()
		return
	}
	state := "ready"
	if r.draining {
		state = "draining"
	}
	spec := map[string]any{"service": r.cfg.Service, "address": r.cfg.Address, "zone": r.cfg.Zone, "slots": r.cfg.Slots,
		"state": state, "cold_remaining_ms": r.coldMillis(), "models": r.loadedModels()}
	r.written++
	written := r.written
	r.mu.Unlock()
	r.cfg.Store.PutRecord(r.cfg.ID, spec, written, r.writer)
}

// Go deletes the runner's record, which the runner does not write again. Late writes may bring it back.
func (r *Runner) Go() {
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	r.cfg.Store.Delete("servers", r.cfg.ID)
}

// End makes the store apply no late writes of the runner any more.
func (r *Runner) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

func (r *Runner) writer() Writer {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.ended:
		return Ended
	case r.gone:
		return Gone
	}
	return Writing
}

// coldMillis returns for how long the runner is cold after its start, in milliseconds, or 0 once it
// is not.
func (r *Runner) coldMillis() int64 {
	if time.Now().After(r.coldUntil) {
		return 0
	}
	return r.cfg.Cold.Milliseconds()
}

// loadedModels returns the loaded model and its version in the format of records and reports.
// The caller holds r.mu.
func (r *Runner) loadedModels() []any {
	if r.cfg.Model == "" || r.version == 0 {
		return []any{}
	}
	return []any{map[string]any{"name": r.cfg.Model, "version": r.version}}
}
