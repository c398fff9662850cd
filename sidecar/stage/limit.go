package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

const (
	// limitEvery is how often the limits of versions are looked at; the endpoint is asked
	// only once one is near. Chosen by judgement.
	limitEvery = 50 * time.Millisecond
	// unloadLead is how long before their limit old weights are unloaded: what waits at
	// the endpoint then has begun by the limit, and nothing that comes later begins. It
	// covers the calls to the endpoint on this VM and its queue, not the way of requests.
	// Chosen by judgement.
	unloadLead = queueLimit
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
// required. It returns whether nothing older is left.
func (s *Stager) keepLimit(ctx context.Context, model string, required int64) bool {
	report, err := s.report(ctx)
	if err != nil {
		return false
	}
	held := report.Version(model)
	if held == 0 || held >= required {
		return true
	}
	if report.Busy {
		return false // it is loading, and begins nothing meanwhile
	}
	if err := s.unload(ctx, Order{Model: model, Version: required, Sequence: report.Sequence}); err != nil {
		s.failed(ctx, "old weights not unloaded", model, held, err)
		return false
	}
	newest := s.target(model).version
	s.cfg.Log.Warn("old weights unloaded", "model", model, "weights", held, "required", required,
		"running", report.Running, "queued", report.Queued, "version", newest, "have", s.held(model, newest))
	return false // until a report says so
}

// unload gives the endpoint an order to unload, and asks the gateways to send nothing.
func (s *Stager) unload(ctx context.Context, o Order) error {
	s.cfg.Fleet.Pause(ctx, loadPause)
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	return s.cfg.Endpoint.Unload(ctx, o)
}
