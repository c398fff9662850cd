package stage

import (
	"context"
	"time"

	"github.com/silverdeck/silverdeck/wait"
)

// limitEvery is how often the limits of versions are looked at; the endpoint is asked
// only once one has come. Chosen by judgement.
const limitEvery = 50 * time.Millisecond

// watchLimits tells when the endpoint runs weights past their limit, until ctx ends.
func (s *Stager) watchLimits(ctx context.Context) {
	kept := map[string]int64{} // the versions that the endpoint has come up to, by model
	for wait.For(ctx, limitEvery) {
		for _, model := range s.models() {
			required := s.named.Required(model, time.Now())
			if required > kept[model] && s.checkLimit(ctx, model, required) {
				kept[model] = required
			}
		}
	}
}

// checkLimit returns whether the endpoint's weights are known, and tells if they are
// older than version required.
func (s *Stager) checkLimit(ctx context.Context, model string, required int64) bool {
	report, err := s.report(ctx)
	if err != nil {
		return false
	}
	if held := report.Version(model); held != 0 && held < required {
		newest := s.target(model).version
		s.cfg.Log.Warn("weights overdue", "model", model, "weights", held, "required", required, "busy", report.Busy,
			"running", report.Running, "queued", report.Queued, "version", newest, "have", s.held(model, newest))
	}
	return true
}
