package stage

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

const (
	// limitEvery is how often the limits of versions are looked at; the endpoint is asked
	// only once one is near.
	limitEvery = 50 * time.Millisecond
	// unloadLead is how long before their limit old weights are unloaded. It covers two
	// tries on this VM, and not the way of requests.
	unloadLead = 500 * time.Millisecond
	// unloadLatest is how long before the limit old weights are unloaded although a load of
	// new ones is about to be ordered.
	unloadLatest = 200 * time.Millisecond
	// limitCall bounds a call to the endpoint meanwhile: one that is lost must leave time
	// for another.
	limitCall = 100 * time.Millisecond
)

// keepLimits unloads weights from the endpoint whose limit comes, until ctx ends.
// Gateways stop sending to them before that, but a request that is on its way can't be
// taken back, and may be there for seconds: only at the endpoint can it be refused.
func (s *Stager) keepLimits(ctx context.Context) {
	kept := map[string]int64{} // the versions that the endpoint has come up to, by model
	for wait.For(ctx, limitEvery) {
		for _, model := range s.models() {
			required := s.named.Required(model, time.Now().Add(unloadLead))
			if required > kept[model] && s.keepLimit(ctx, model, required) {
				kept[model] = required
			}
		}
	}
}

// keepLimit unloads what the endpoint holds of model if that is older than version
// required. It returns whether nothing older is left, nor comes: an endpoint that is
// busy may be loading it, and later no load of it is ordered.
func (s *Stager) keepLimit(ctx context.Context, model string, required int64) bool {
	s.ordering <- struct{}{}
	defer func() { <-s.ordering }()
	report, err := s.reportWithin(ctx, limitCall)
	if err != nil || report.Busy {
		return false // while it loads it begins nothing
	}
	held := report.Version(model)
	if held == 0 || held >= required {
		return true
	}
	if s.loadComes(model, held, required) {
		return false
	}
	s.cfg.Fleet.Pause(ctx, loadPause)
	if err := s.unload(ctx, Order{Model: model, Version: required, Sequence: report.Sequence}); err != nil {
		s.notUnloaded(ctx, model, held, err)
		return false
	}
	newest := s.target(model).version
	s.cfg.Log.Warn("old weights unloaded", "model", model, "weights", held, "required", required,
		"running", report.Running, "queued", report.Queued, "version", newest, "have", s.held(model, newest))
	return false // until a report says so
}

// loadComes returns whether a load of version required or a newer one is about to be
// ordered in time: it ends the use of the old weights as well, and sooner takes requests.
func (s *Stager) loadComes(model string, held, required int64) bool {
	end, _ := s.named.Deadline(model, held)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loading[model] >= required && time.Until(end) > unloadLatest
}

// unload gives the endpoint an order to unload.
func (s *Stager) unload(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, limitCall)
	defer cancel()
	return s.cfg.Endpoint.Unload(ctx, o)
}

// notUnloaded notes that an order to unload was not taken. One that was lost, or that
// came behind another, is given again at once; one that was refused, after a while.
func (s *Stager) notUnloaded(ctx context.Context, model string, held int64, err error) {
	var refused *OrderError
	if errors.As(err, &refused) && refused.Status != http.StatusConflict {
		s.failed(ctx, "old weights not unloaded", model, held, err)
		return
	}
	s.cfg.Log.Warn("old weights not unloaded", "model", model, "version", held, "err", err)
}
