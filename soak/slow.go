package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// Slow readers in MixOverload.
const (
	// slowReaders is how many callers read long answers slowly or not at all, all at one gateway.
	// Their answers together exceed its memory limit.
	slowReaders = 40
	// longAnswer is the size of their answers in bytes, longBody that of their requests.
	longAnswer = 6 << 20
	// longBody is described at longAnswer.
	longBody = 48 << 10
	// slowBuffer is the size of their receive buffers, which keeps answers at the gateway.
	slowBuffer = 8 << 10
	// slowPiece and slowPause are how much one reads at a time and how often.
	slowPiece = 4 << 10
	// slowPause is described at slowPiece.
	slowPause = 50 * time.Millisecond
	// leastSlow and spreadSlow bound how long one stays: some are gone before the gateway gives
	// them up.
	leastSlow = 500 * time.Millisecond
	// spreadSlow is drawn from, on top of leastSlow.
	spreadSlow = 4 * time.Second
	// runnerReadPause is the time between two parts of a request that a slow runner reads.
	runnerReadPause = 20 * time.Millisecond
)

// Limits on what slow readers may cost.
const (
	// heldUpSlack is how much smaller the share of others' requests that is served may be at the
	// gateway with slow readers.
	heldUpSlack = 0.05
	// minHeldUp is the number of requests there and elsewhere from which they are compared.
	minHeldUp = 100
	// releaseLimit is the time after the last caller until a gateway must hold nothing of them: it
	// gives up one that stopped reading after two seconds.
	releaseLimit = 4 * time.Second
)

// PlainRequest is a plain request of a usual caller.
type PlainRequest struct {
	Gateway      string
	Began, Ended time.Time
	Served       bool
	// InTime is set for one that was served within the target.
	InTime bool
}

// Beside holds the plain requests of usual callers beside slow readers and large requests. It is safe for concurrent
// use.
type Beside struct {
	mu  sync.Mutex
	all []PlainRequest
}

// Note notes a request.
func (b *Beside) Note(r PlainRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.all = append(b.all, r)
}

// Judge returns a line for each of the gateways in beside, which have slow readers or large
// requests, where requests were served, or served in time, less often than at the others. held
// returns whether a gateway was at work from one time to another.
func (b *Beside) Judge(beside []string, held func(gateway string, from, to time.Time) bool) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	served, inTime := map[string]share{}, map[string]share{}
	for _, r := range b.all {
		if !held(r.Gateway, r.Began, r.Ended) {
			continue
		}
		where := elsewhere
		if slices.Contains(beside, r.Gateway) {
			where = r.Gateway
		}
		served[where] = served[where].count(r.Served)
		inTime[where] = inTime[where].count(r.InTime)
	}
	var out []string
	for _, gateway := range beside {
		out = append(out, compareBeside(gateway, "served", served)...)
		out = append(out, compareBeside(gateway, "served in time", inTime)...)
	}
	return out
}

// elsewhere stands for the gateways without slow readers and large requests.
const elsewhere = ""

// compareBeside returns a line if the share of a gateway is smaller than that elsewhere.
func compareBeside(gateway, what string, shares map[string]share) []string {
	there, others := shares[gateway], shares[elsewhere]
	if min(there.asked, others.asked) < minHeldUp || there.ratio() >= others.ratio()-heldUpSlack {
		return nil
	}
	return []string{fmt.Sprintf("beside slow readers and large requests at %s %d of %d were %s, elsewhere %d of %d", gateway, there.served, there.asked, what, others.served, others.asked)}
}

// isAtWork implements heldFunc for gateways that ran all the time and were not asked to stop shortly
// before either: one that starts again has no configuration at first.
func (w *world) isAtWork(gateway string, from, to time.Time) bool {
	for _, p := range w.entries {
		if p.name == gateway && p.isAway(from, to) {
			return false
		}
	}
	for _, stop := range w.history(gateway).Stops {
		if stop.Before(to) && stop.Add(plannedWindow).After(from) {
			return false
		}
	}
	return w.isHeld(gateway, from, to)
}

// readSlowly sends requests with long answers to the first gateway until ctx ends.
func (w *world) readSlowly(ctx context.Context, n int) {
	r := rand.New(rand.NewPCG(w.cfg.Seed, uint64(1000+n)))
	for i := 0; ctx.Err() == nil; i++ {
		stay, cancel := context.WithTimeout(ctx, leastSlow+time.Duration(r.Int64N(int64(spreadSlow))))
		w.readOneSlowly(stay, fmt.Sprintf("%s/slow%d-%d", w.entries[0].name, n, i), n%2 == 0)
		cancel()
		time.Sleep(callerPause)
	}
}

// readOneSlowly sends one request and leaves when ctx ends. It reads nothing of the answer's body if
// never is set.
func (w *world) readOneSlowly(ctx context.Context, id string, never bool) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialSlow}}
	q := question{id: id, body: standin.LongAnswer + strings.Repeat("x", longBody), key: apiKey, limit: plainLimit}
	resp, err := client.Do(q.request(ctx, w.entryAddrs[0].callers))
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if never {
		<-ctx.Done()
		return
	}
	for ctx.Err() == nil {
		if _, err := io.CopyN(io.Discard, resp.Body, slowPiece); err != nil {
			return
		}
		time.Sleep(slowPause)
	}
}

func dialSlow(ctx context.Context, network, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, network, addr)
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(slowBuffer) // fails only if the connection has ended
	}
	return conn, err
}

// startSlowReaders starts the slow readers of MixOverload.
func (w *world) startSlowReaders(ctx context.Context, asking *sync.WaitGroup) {
	if w.cfg.Mix != MixOverload {
		return
	}
	for n := range slowReaders {
		asking.Go(func() { w.readSlowly(ctx, n) })
	}
}

// checkReleased notes each gateway that holds requests or bodies of callers who are all gone.
func (w *world) checkReleased() {
	if w.cfg.Mix != MixOverload {
		return
	}
	end := time.Now().Add(releaseLimit)
	for i, p := range w.entries {
		inFlight, bytes, err := w.held(i)
		for (err != nil || inFlight+bytes > 0) && time.Now().Before(end) {
			time.Sleep(pollEvery)
			inFlight, bytes, err = w.held(i)
		}
		if err == nil && inFlight+bytes > 0 {
			w.witness.AddViolation("%s holds %d requests and %d bytes after all callers are gone", p.name, inFlight, bytes)
		}
	}
}

// held returns the requests and the bytes of bodies that gateway i holds.
func (w *world) held(i int) (inFlight, bytes int, err error) {
	var state struct {
		InFlight map[string]int `json:"inFlight"`
	}
	text, err := w.observe(i, "/debug/state")
	if err != nil {
		return 0, 0, err
	}
	if err := json.Unmarshal([]byte(text), &state); err != nil {
		return 0, 0, err
	}
	for _, n := range state.InFlight {
		inFlight += n
	}
	if text, err = w.observe(i, "/metrics"); err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(text) {
		if name, value, _ := strings.Cut(line, " "); strings.Contains(name, "body_bytes") {
			_, err = fmt.Sscan(value, &bytes)
		}
	}
	return inFlight, bytes, err
}

// observe returns what gateway i tells operators.
func (w *world) observe(i int, path string) (string, error) {
	client := http.Client{Timeout: resolveLimit}
	resp, err := client.Get("http://" + w.addr(firstEntry+i, portObserve) + path)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return string(text), err
}
