package soak

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/gateway/policy"
	"github.com/silverdeck/silverdeck/platform"
	"github.com/silverdeck/silverdeck/standin"
)

// names are the platform's headers.
var names = platform.HeaderNames()

// Result counts what callers saw.
type Result struct {
	Asked, Served, Refused, Cut, Other atomic.Int64
}

// String returns the counts for people.
func (r *Result) String() string {
	return fmt.Sprintf("%d asked, %d served, %d refused, %d cut, %d others", r.Asked.Load(), r.Served.Load(), r.Refused.Load(), r.Cut.Load(), r.Other.Load())
}

// caller asks the directory and sends requests, on connections that it keeps.
type caller struct {
	world  *world
	name   string
	client *http.Client
	random *rand.Rand
	result *Result
	// account is its client account and key the API key. repeats is set for a caller that comes back
	// at once after a refusal.
	key     string
	account string
	repeats bool
	// large is set for a sender of large requests. cut are those that got no answer.
	large bool
	cut   []largeCut
	// refused are requests that were promised not to run.
	mu      sync.Mutex
	refused []string
	sent    int
	// holds is for how long it keeps an answer of the directory.
	holds time.Duration
}

func newCaller(w *world, n int, r *Result) *caller {
	c := &caller{
		world: w, name: fmt.Sprintf("c%d", n), result: r,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
		random: rand.New(rand.NewPCG(w.cfg.Seed, uint64(n))),
		holds:  addressHeld,
		key:    apiKey, account: accountName,
		repeats: n%repeaterShare == 0,
	}
	if w.cfg.Mix == MixOverload && n%smallShare == 0 {
		c.key, c.account = smallKey, smallAccount
	}
	if n%5 == 0 {
		c.holds = addressHeldLong
	}
	return c
}

// Timing of callers.
const (
	// callerPause is the time between a caller's requests.
	callerPause = 15 * time.Millisecond
	// streamLimit is how long a caller waits for a stream, as the users' do.
	streamLimit = 6 * time.Second
	// plainLimit is how long it waits for a plain answer, as the users' do.
	plainLimit = 1500 * time.Millisecond
	// plainTarget is the time within which a plain answer is wanted.
	plainTarget = 200 * time.Millisecond
	// resolveLimit is how long it waits for the directory.
	resolveLimit = time.Second
	// addressHeld is for how long most callers keep an answer of the directory, and
	// addressHeldLong for how long some do: three times as long, as the platform says.
	addressHeld = 2 * time.Second
	// addressHeldLong is what addressHeld says.
	addressHeldLong = 3 * addressHeld
	// patienceLimit is the longest time after which it comes back.
	patienceLimit = 500 * time.Millisecond
)

// run sends requests one after the other until ctx ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		entry, addr, found := c.resolve(ctx)
		if !found {
			time.Sleep(callerPause)
			continue
		}
		resolved := time.Now()
		for range 10 {
			c.ask(entry, addr)
			time.Sleep(callerPause)
			if ctx.Err() != nil {
				return
			}
			if time.Since(resolved) > c.holds {
				break
			}
		}
	}
}

// resolve asks a directory and returns the entry to use and its address.
func (c *caller) resolve(ctx context.Context) (*process, string, bool) {
	ctx, cancel := context.WithTimeout(ctx, resolveLimit)
	defer cancel()
	w := c.world
	from := c.random.IntN(len(w.entryAddrs))
	url := "http://" + w.entryAddrs[from].directory + "/resolve?name=" + plainHost + "&region=east&zone=a"
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	resp, err := c.client.Do(r)
	if err != nil {
		return nil, "", false
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&answer) != nil || len(answer.Addresses) == 0 {
		return nil, "", false
	}
	addr := answer.Addresses[c.random.IntN(len(answer.Addresses))]
	for i, a := range w.entryAddrs {
		if a.callers == addr {
			return w.entries[i], addr, true
		}
	}
	w.witness.AddViolation("the directory named %s, which is no entry", addr)
	return nil, "", false
}

// ask sends one request and checks what comes back.
func (c *caller) ask(entry *process, addr string) {
	q := c.draw(entry)
	began := time.Now() // before its time begins to count
	ctx, cancel := context.WithTimeout(context.Background(), c.patience(&q))
	defer cancel()
	var seen sending
	var served bool
	c.result.Asked.Add(1)
	resp, err := c.client.Do(q.request(seen.trace(ctx), addr))
	if err == nil {
		defer func() { _ = resp.Body.Close() }()
		c.world.heeded.passedOn(entry.name, resp.Header)
		served, err = c.check(resp, &q)
		c.world.shares.Note(Class{c.account, q.host()}, served)
	}
	ended := time.Now()
	c.noteEnd(&q, entry, Span{began, ended}, served)
	if err != nil {
		c.result.Cut.Add(1)
		limit := began.Add(q.limit.Truncate(time.Millisecond))
		c.noteCut(&Exchange{ID: q.id, Gateway: entry.name, End: ended, Limit: limit, Begun: resp != nil}, &seen)
		c.checkStop(entry, q.id, began, ended, limit, err)
		c.noteLargeCut(entry.name, q.id, began, ended, &seen, err)
	}
	c.checkRuns(&q)
	if err == nil {
		c.comeBack(resp)
	}
}

// noteEnd notes the end of a request for the judges of the mixes.
func (c *caller) noteEnd(q *question, entry *process, s Span, served bool) {
	w := c.world
	if q.prompt != "" && q.limit == streamLimit {
		w.parts.note(stream{gateway: entry.name, at: s.From, ended: s.To, served: served})
	}
	if !q.stream && !c.large {
		w.beside.Note(PlainRequest{Gateway: entry.name, Began: s.From, Ended: s.To, Served: served, InTime: served && s.To.Sub(s.From) <= plainTarget})
	}
	w.ledger.ended(entry.name, s.To)
	if w.cfg.Mix == MixSpoiled {
		w.spoils.note(Outcome{ID: q.id, Gateway: entry.name, Host: q.host(), Span: s, Limit: s.From.Add(q.limit), Served: served, Patient: q.patient()})
	}
	if q.stream && q.patient() {
		w.starts.note(entry.name, s.From, served)
	}
}

// checkStop looks at a request that was cut at a gateway that was asked to stop: nothing that
// an endpoint goes on with may be cut by that.
func (c *caller) checkStop(entry *process, id string, began, ended, limit time.Time, err error) {
	run := c.world.witness.SettledRuns(id)
	if ended.Before(limit) && entry.onlyPlanned(began) && c.world.calm(began) && run.Count > 0 && !c.brokenOff(&run, id, ended) {
		c.world.witness.AddViolation("request %s was cut by the planned stop of %s: %v", id, entry.name, err)
	}
}

// brokenOff returns whether an endpoint broke off its run of a request or spoiled its answer.
func (c *caller) brokenOff(run *standin.RequestRuns, id string, at time.Time) bool {
	return run.AbortedByEndpoint(at) || c.world.spoils.of(id) != ""
}

// noteCut notes a request whose connection ended before its answer was whole.
func (c *caller) noteCut(e *Exchange, seen *sending) {
	var whole bool
	if e.Kept, e.Sent, whole = seen.result(); !whole {
		return // no gateway can have read it whole
	}
	e.Working = c.world.witness.Runs(e.ID).Running > 0
	run := c.world.witness.SettledRuns(e.ID)
	e.PassedOn, e.BrokenOff = run.Count > 0, c.brokenOff(&run, e.ID, e.End)
	c.world.ledger.cutOff(e)
}

// check looks at an answer. It returns whether the request was served, and an error if the answer
// was cut.
func (c *caller) check(resp *http.Response, q *question) (served bool, err error) {
	w := c.world.witness
	c.checkFraming(resp, q.id)
	c.checkOwn(resp, q.id)
	switch {
	case resp.Header.Get(names.RequestID) != q.id:
		w.AddViolation("request %s got an answer to %q", q.id, resp.Header.Get(names.RequestID))
	case resp.StatusCode == http.StatusOK && q.stream:
		err = c.checkStream(resp, q.id)
		return err == nil, err
	case resp.StatusCode == http.StatusOK:
		got, err := readKept(resp.Body)
		if err != nil {
			return false, err
		}
		whole := standin.ResponseBody(q.id, q.body)
		if isCutUnframed(resp, got, whole) {
			return false, errUnmarkedEnd
		}
		if got != whole {
			w.AddViolation("request %s got %.200q%s", q.id, got, c.world.spoils.of(q.id))
		}
		c.result.Served.Add(1)
		return true, nil
	case promisesNotRun(resp.StatusCode):
		c.result.Refused.Add(1)
		c.noteRefused(q)
		_ = c.checkFailure(resp, q.id) // the promise stands in the head
	case resp.StatusCode == http.StatusUnauthorized || resp.StatusCode == http.StatusNotFound:
		w.AddViolation("request %s was denied with %d", q.id, resp.StatusCode)
	default:
		c.result.Other.Add(1)
		return false, c.checkFailure(resp, q.id)
	}
	return false, nil
}

// noteRefused notes a request that was promised not to run; streams only in MixOverload and MixSpoiled.
func (c *caller) noteRefused(q *question) {
	if mix := c.world.cfg.Mix; q.stream && mix != MixOverload && mix != MixSpoiled {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, q.id)
}

// checkFailure looks at an answer that tells of a failure: no request of these callers ends
// endpoints, however many ended while they had it.
func (c *caller) checkFailure(resp *http.Response, id string) error {
	body, err := readKept(resp.Body)
	c.checkOwnBody(body, id)
	if strings.HasPrefix(body, string(policy.CodeQuarantined)) {
		c.world.witness.AddViolation("request %s was taken for one that ends endpoints", id)
	}
	return err
}

// checkStream reads a stream: its events must come in order, each once, and
// all of them before it ends.
func (c *caller) checkStream(resp *http.Response, id string) error {
	reader := bufio.NewReader(resp.Body)
	for n := 1; ; n++ {
		event, err := readEvent(reader)
		if errors.Is(err, io.EOF) && event == "" {
			if n <= c.world.cfg.events() && isUnframed(resp) {
				return errUnmarkedEnd
			}
			if due := c.world.cfg.events() + 1; n < due || n > due && !c.world.spoils.hadMoreEvents(id) {
				c.world.witness.AddViolation("stream %s ended as whole after %d events%s", id, n-1, c.world.spoils.of(id))
			}
			c.result.Served.Add(1)
			return nil
		}
		if err != nil {
			return err
		}
		if event != standin.FormatEvent(id, n) {
			c.world.witness.AddViolation("stream %s got %.200q as event %d%s", id, event, n, c.world.spoils.of(id))
			return nil
		}
	}
}

func readEvent(r *bufio.Reader) (string, error) {
	var event strings.Builder
	for {
		line, err := r.ReadSlice('\n')
		if event.Len() < keptBody {
			event.Write(line)
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil || string(line) == "\n" {
			return event.String(), err
		}
	}
}

// checkRuns looks at what endpoints saw of a request.
func (c *caller) checkRuns(q *question) {
	run := c.world.witness.Runs(q.id)
	if run.Count == 0 {
		return
	}
	if !q.stream && run.Count > 1 {
		c.world.witness.AddViolation("request %s ran %d times%s", q.id, run.Count, c.world.spoils.of(q.id))
	}
	if run.Body != standin.Summarize(q.body) || run.Tenant != c.account {
		c.world.witness.AddViolation("request %s ran as %q for %q", q.id, run.Body, run.Tenant)
	}
}

// checkPromises looks once more at requests that were promised not to run.
func (c *caller) checkPromises() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.refused {
		if n := c.world.witness.Runs(id).Count; n > 0 {
			c.world.witness.AddViolation("request %s was refused and ran %d times%s", id, n, c.world.spoils.of(id))
		}
	}
}
