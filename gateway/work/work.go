// Package work estimates how much of a model engine a stream needs. Each rule is a pure function
// of plain values.
package work

import (
	"time"

	"github.com/silverdeck/silverdeck/routes"
)

// Tokens are the lengths of a stream's prompt and of its answer, in tokens.
type Tokens struct {
	Prompt, Answer float64
}

// Estimate returns the expected lengths of a stream. stated holds what its caller stated, with 0
// for an unknown length, which is replaced by the engine's mean. engine may be nil.
func Estimate(engine *routes.Engine, stated Tokens) Tokens {
	if engine == nil {
		return stated
	}
	if stated.Prompt <= 0 {
		stated.Prompt = engine.MeanPromptTokens
	}
	if stated.Answer <= 0 {
		stated.Answer = engine.MeanAnswerTokens
	}
	return stated
}

// SlotTime returns how long a stream occupies a slot of an engine with a full batch, in which the
// prefill of other streams delays it as well. It returns 0 if the engine's figures are unknown.
func SlotTime(engine *routes.Engine, t Tokens) time.Duration {
	if engine == nil {
		return 0
	}
	return engine.Prefill(t.Prompt) + engine.GenerationTime(t.Answer)
}
