package standin

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/zeebo/blake3"

	"github.com/silverdeck/silverdeck/standalone/engine"
)

// Orders returns the orders that were taken.
func (e *Engine) Orders() []engine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]engine.Order(nil), e.orders...)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !e.enterEpoch(o.Epoch) {
		w.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(w).Encode(e.current())
		return
	}
	if o.Kind != engine.OrderUnload {
		if err := e.fetch(r.Context(), o); err != nil {
			http.Error(w, err.Error(), http.StatusUnprocessableEntity)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	key := modelKey(o.Model, o.Adapter)
	if o.Kind == engine.OrderUnload {
		delete(e.loaded, key)
	} else {
		e.loaded[key] = engine.Loaded{Model: o.Model, Adapter: o.Adapter, Weights: o.Weights, Digest: o.Digest}
	}
	w.WriteHeader(http.StatusOK)
}

// enterEpoch returns whether an order of that epoch is taken.
func (e *Engine) enterEpoch(epoch int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fenced && epoch < e.epoch {
		return false
	}
	e.epoch = max(e.epoch, epoch)
	return true
}

// fetch reads the weights and checks that they are what the order says.
func (e *Engine) fetch(ctx context.Context, o engine.Order) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, o.Source, nil)
	if err != nil {
		return err
	}
	resp, err := e.cfg.HTTP.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	h := blake3.New()
	n, err := io.Copy(h, resp.Body)
	if err != nil {
		return err
	}
	if got := hex.EncodeToString(h.Sum(nil)); resp.StatusCode != http.StatusOK || n != o.Size || got != o.Digest {
		return fmt.Errorf("weights of %d bytes have digest %s, want %s", n, got, o.Digest)
	}
	time.Sleep(e.cfg.LoadTime)
	return nil
}
