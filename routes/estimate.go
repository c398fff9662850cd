package routes

import "time"

// pass returns the time of one pass of a full batch: it makes Stride tokens of
// each request's answer.
func (e *Engine) pass() time.Duration {
	return time.Duration(e.Stride) * (e.Step + time.Duration(e.Slots)*e.PerRequest)
}

// AnswerTime returns how long a usual answer is written in a full batch that reads no
// prompts meanwhile.
func (e *Engine) AnswerTime() time.Duration {
	passes := e.UsualAnswer / float64(max(e.Stride, 1))
	return time.Duration(passes * float64(e.pass()))
}

// Prefill returns how long a prompt of n tokens takes to be read, or 0 where that is
// not known.
func (e *Engine) Prefill(n float64) time.Duration {
	if e.ReadPerSecond <= 0 {
		return 0
	}
	return time.Duration(n / e.ReadPerSecond * float64(time.Second))
}

// turnover returns the mean time between two ends of requests in a full batch.
// While a request runs, as many others as there are slots begin, and each of
// them is read between the tokens of the rest.
func (e *Engine) turnover() time.Duration {
	slots := max(e.Slots, 1)
	return e.AnswerTime()/time.Duration(slots) + e.Prefill(e.UsualPrompt)
}

// QueueWithin returns how many requests may wait before a full batch so that
// one more, with a prompt of n tokens, begins its answer within d.
func (e *Engine) QueueWithin(d time.Duration, n int) float64 {
	turnover := e.turnover()
	if turnover <= 0 {
		return 0
	}
	return max(0, float64(d-e.Prefill(float64(n))-e.pass())/float64(turnover))
}
