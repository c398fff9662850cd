package stage

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

const (
	// limitPollInterval is the interval at which the expiry of versions is checked. The
	// endpoint is polled only when an expiry is near.
	limitPollInterval = 50 * time.Millisecond
	// unloadLead is how long before their expiry weights are unloaded. It covers two attempts
	// on this VM, but not the transit time of requests.
	unloadLead = 500 * time.Millisecond
	// minUnloadLead is how long before their expiry weights are unloaded even if a load of
	// newer ones is about to be ordered.
	minUnloadLead = 200 * time.Millisecond
	// limitCallTimeout is the timeout of a call to the endpoint here. It leaves time for a
	// second attempt if the first is lost.
	limitCallTimeout = 100 * time.Millisecond
)

// enforceLimits unloads weights that are about to expire, until ctx is canceled. Gateways
// stop sending requests to them earlier, but a request that is already in transit cannot be
// withdrawn and may take seconds to arrive. Only the endpoint can reject it.
func (s *Stager) enforceLimits(ctx context.Context) {
	satisfied := map[string]int64{} // by model, the required version that the endpoint has reached
	for wait.For(ctx, limitPollInterval) {
		for _, model := range s.models() {
			required := s.history.Required(model, time.Now().Add(unloadLead))
			if required > satisfied[model] && s.enforceLimit(ctx, model, required) {
				satisfied[model] = required
			}
		}
	}
}

// enforceLimit unloads the endpoint's weights of model if they are older than version
// required. It returns whether the endpoint neither has nor can still receive older weights:
// a busy endpoint may be loading them, and no load of them is ordered later.
func (s *Stager) enforceLimit(ctx context.Context, model string, required int64) bool {
	s.orderSem <- struct{}{}
	defer func() { <-s.orderSem }()
	report, err := s.reportWithTimeout(ctx, limitCallTimeout)
	if err != nil || report.Busy {
		return false // the endpoint begins no requests while it loads
	}
	held := report.Version(model)
	if held == 0 || held >= required {
		return true
	}
	if s.loadImminent(model, held, required) {
		return false
	}
	s.cfg.Fleet.Pause(ctx, loadPauseDuration)
	if err := s.unload(ctx, Order{Model: model, Version: required, Sequence: report.Sequence}); err != nil {
		s.handleUnloadError(ctx, model, held, err)
		return false
	}
	newest := s.target(model).version
	s.cfg.Log.Warn("old weights unloaded", "model", model, "weights", held, "required", required,
		"running", report.Running, "queued", report.Queued, "version", newest, "have", s.chunkCount(model, newest))
	return false // confirmed by a later report
}

// loadImminent returns whether a load of version required or a newer one is about to be
// ordered in time. Such a load also ends the use of the old weights, and makes the endpoint
// available sooner.
func (s *Stager) loadImminent(model string, held, required int64) bool {
	end, _ := s.history.Deadline(model, held)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loading[model] >= required && time.Until(end) > minUnloadLead
}

// unload sends the endpoint an unload order.
func (s *Stager) unload(ctx context.Context, o Order) error {
	ctx, cancel := context.WithTimeout(ctx, limitCallTimeout)
	defer cancel()
	return s.cfg.Endpoint.Unload(ctx, o)
}

// handleUnloadError logs a failed unload order. An order that was lost, or that conflicted
// with another one, is repeated immediately; one that was rejected for another reason is
// repeated after a delay.
func (s *Stager) handleUnloadError(ctx context.Context, model string, held int64, err error) {
	var refused *OrderError
	if errors.As(err, &refused) && refused.Status != http.StatusConflict {
		s.logAndBackOff(ctx, "old weights not unloaded", model, held, err)
		return
	}
	s.cfg.Log.Warn("old weights not unloaded", "model", model, "version", held, "err", err)
}
