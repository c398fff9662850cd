package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// question is one request as it is to be sent.
type question struct {
	id, body string
	// key is the API key. stream is set for streams, bulk for those of the lower rank, once for plain
	// requests that may be sent to one endpoint only.
	key                string
	stream, bulk, once bool
	// prompt lists the parts of the prompt, if there are any.
	prompt string
	// limit is how long its answer is waited for.
	limit time.Duration
}

// draw returns the caller's next request, which an entry gets. Its ID tells which one that is.
func (c *caller) draw(entry *process) question {
	c.sent++
	q := question{key: c.key, id: fmt.Sprintf("%s/%s-%d", entry.name, c.name, c.sent), limit: plainLimit}
	q.body = "body of " + q.id
	if c.random.IntN(2) == 0 {
		q.stream, q.limit = true, streamLimit
		q.bulk = c.world.cfg.Mix == MixOverload && c.random.IntN(2) == 0
	}
	q.once = !q.stream && c.world.cfg.Mix == MixSpoiled && c.random.IntN(2) == 0
	if q.stream && c.world.cfg.Mix == MixParts {
		q.prompt = soundPrompt(c.random)
	}
	if c.random.IntN(20) == 0 {
		q.limit = time.Duration(c.random.Int64N(int64(patienceLimit)))
	}
	if c.large {
		c.enlarge(&q)
	}
	return q
}

// request returns the question as it is sent to addr.
func (q *question) request(ctx context.Context, addr string) *http.Request {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/go/x", strings.NewReader(q.body))
	r.Host = q.host()
	r.Header.Set(names.RequestID, q.id)
	r.Header.Set(names.Key, q.key)
	r.Header.Set(names.Deadline, fmt.Sprint(q.limit.Milliseconds()))
	if q.stream {
		r.Header.Set(names.Model, model)
	}
	if q.prompt != "" {
		r.Header.Set(names.Prompt, q.prompt)
	}
	r.GetBody = nil
	return r
}

// host returns the host that the question is for.
func (q *question) host() string {
	switch {
	case q.bulk:
		return bulkHost
	case q.stream:
		return streamHost
	case q.once:
		return onceHost
	}
	return plainHost
}

// patient returns whether the question has at least the usual time of a plain one.
func (q *question) patient() bool {
	return q.limit >= plainLimit
}
