package routes

import "time"

// passTime returns the duration of one pass over a full batch.
func (e *Engine) passTime() time.Duration {
	return e.PassTime(float64(e.Slots))
}

// PassTime returns the duration of one pass over a batch of n mean requests, which makes Stride
// tokens of each request's answer.
func (e *Engine) PassTime(n float64) time.Duration {
	context := (e.MeanPromptTokens + e.MeanAnswerTokens/2) / 1000
	perRequest := float64(e.StepTimePerRequest) + context*float64(e.StepTimePerContext)
	return time.Duration(float64(e.Stride) * (float64(e.StepTime) + n*perRequest))
}

// AnswerTime returns how long a mean answer takes to generate in a full batch without any
// prefill.
func (e *Engine) AnswerTime() time.Duration {
	passes := e.MeanAnswerTokens / float64(max(e.Stride, 1))
	return time.Duration(passes * float64(e.passTime()))
}

// Prefill returns how long the prefill of n tokens takes, each of which is combined with all that
// precede it, or 0 if the rate is unknown.
func (e *Engine) Prefill(n float64) time.Duration {
	if e.PrefillTokensPerSecond <= 0 {
		return 0
	}
	pairs := n * n / 2 / 1e6
	return time.Duration(n/e.PrefillTokensPerSecond*float64(time.Second) + pairs*float64(e.PrefillTimePerPairs))
}

// turnover returns the mean time between completions in a full batch. While a request runs,
// as many others start as there are slots, and the prefill of each one pauses the running
// requests.
func (e *Engine) turnover() time.Duration {
	slots := max(e.Slots, 1)
	return e.AnswerTime()/time.Duration(slots) + e.Prefill(e.MeanPromptTokens)
}

// MaxQueue returns how many requests may be queued for a full batch so that one more, with a
// prompt of n tokens, starts its answer within d.
func (e *Engine) MaxQueue(d time.Duration, n int) float64 {
	turnover := e.turnover()
	if turnover <= 0 {
		return 0
	}
	return max(0, float64(d-e.Prefill(float64(n))-e.passTime())/float64(turnover))
}

// GenerationTime returns how long an answer of n tokens takes to generate in a full batch in which
// a finished request is replaced by the next at once, so that the prefill of others pauses it.
func (e *Engine) GenerationTime(n float64) time.Duration {
	passes := n / float64(max(e.Stride, 1))
	alone := passes * float64(e.passTime())
	answer := float64(e.AnswerTime())
	if answer <= 0 {
		return time.Duration(alone)
	}
	prefill := float64(e.Slots) * float64(e.Prefill(e.MeanPromptTokens)) / answer
	return time.Duration(alone * (1 + prefill))
}
