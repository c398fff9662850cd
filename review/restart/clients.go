package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// attempt is one request of a client, with its own X-Silverdeck-Attempt-Id.
type attempt struct {
	id     string
	stream bool
	sent   time.Time
	status int
	// whole is set if the client got a success with the runner's stamp and its whole body.
	whole bool
}

// kind describes the requests of one route.
type kind struct {
	host     string
	stream   bool
	deadline time.Duration
	perS     float64
}

// kinds are what clients ask for: nine in ten requests are streams, as on the users' sheet.
func kinds(streamsPerS float64) []kind {
	return []kind{
		{host: streamHost, stream: true, deadline: 6 * time.Second, perS: streamsPerS},
		{host: plainHost, deadline: 1500 * time.Millisecond, perS: streamsPerS / 9},
	}
}

// clients send requests at a steady rate.
type clients struct {
	d   *deployment
	rec *record

	mu       sync.Mutex
	attempts []*attempt
	running  sync.WaitGroup
	next     int
}

// connectTimeout is the time that a client gives a new connection.
const connectTimeout = time.Second

// run sends requests of all kinds until ctx ends, and waits for their answers.
func (c *clients) run(ctx context.Context, list []kind) {
	for _, k := range list {
		c.running.Go(func() {
			for sleep(ctx, time.Duration(rand.ExpFloat64()/k.perS*float64(time.Second))) {
				c.running.Go(func() { c.ask(k) })
			}
		})
	}
	<-ctx.Done()
	c.running.Wait()
}

// ask sends one request, and a second one on a new connection after a refusal, once the time of
// Retry-After has passed.
func (c *clients) ask(k kind) {
	ctx, cancel := context.WithTimeout(context.Background(), k.deadline)
	defer cancel()
	retry, after := c.send(ctx, k)
	if !retry {
		return
	}
	end, _ := ctx.Deadline()
	if sleep(ctx, min(after, time.Until(end)/3)) {
		c.send(ctx, k)
	}
}

// send looks up an address and sends one request there. It returns whether the request was refused, and
// the time after which the client may come back.
func (c *clients) send(ctx context.Context, k kind) (refused bool, after time.Duration) {
	addr := c.lookUp(ctx, k.host)
	if addr == "" {
		return false, 0 // nobody was asked
	}
	a := c.newAttempt(k)
	end, _ := ctx.Deadline()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/go/"+a.id, strings.NewReader(`{"text":"read this"}`))
	if err != nil {
		return false, 0
	}
	q.Host = k.host
	q.Header.Set("X-Silverdeck-Attempt-Id", a.id)
	q.Header.Set("X-Silverdeck-Credential", apiKey)
	q.Header.Set("X-Silverdeck-Deadline-Ms", strconv.FormatInt(time.Until(end).Milliseconds(), 10))
	if k.stream {
		q.Header.Set("X-Silverdeck-Model", modelName)
		q.Header.Set("X-Silverdeck-Token-Counts", "973,60")
		q.Header.Set("X-Silverdeck-Prompt-Prefix", fmt.Sprintf("%x:40,%s:933", 1000+rand.IntN(60), a.id))
	}
	dialer := &net.Dialer{Timeout: connectTimeout}
	transport := &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	c.rec.add("send %s (%s) to %s", a.id, k.host, addr)
	resp, err := (&http.Client{Transport: transport}).Do(q)
	if err != nil {
		c.rec.add("no answer to %s: %v", a.id, err)
		return false, 0
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.note(a, resp, body, err)
	if resp.StatusCode != http.StatusServiceUnavailable {
		return false, 0
	}
	s, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return true, time.Duration(s * float64(time.Second))
}

func (c *clients) newAttempt(k kind) *attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	a := &attempt{id: fmt.Sprintf("%016x", c.next), stream: k.stream, sent: time.Now()}
	c.attempts = append(c.attempts, a)
	return a
}

// note records the answer to an attempt.
func (c *clients) note(a *attempt, resp *http.Response, body []byte, err error) {
	whole := err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("X-Silverdeck-Response-Stamp") != ""
	if a.stream {
		whole = whole && strings.Count(string(body), "\n\n") == events
	}
	c.mu.Lock()
	a.status, a.whole = resp.StatusCode, whole
	c.mu.Unlock()
	text := ""
	if resp.StatusCode != http.StatusOK {
		text = ": " + strings.TrimSpace(string(body))
	}
	c.rec.add("answer to %s: %d, whole %t%s", a.id, resp.StatusCode, whole, text)
}

// lookUp asks up to three directories for the addresses of gateways and returns one of them, or "".
func (c *clients) lookUp(ctx context.Context, host string) string {
	zone := rand.IntN(len(zones))
	query := url.Values{"name": {host}, "region": {regions[zone]}, "zone": {zones[zone]}}.Encode()
	for _, i := range rand.Perm(len(c.d.directories))[:min(3, len(c.d.directories))] {
		if addresses := c.resolve(ctx, c.d.directories[i], query); len(addresses) > 0 {
			return addresses[rand.IntN(len(addresses))]
		}
	}
	return ""
}

// resolve asks one directory.
func (c *clients) resolve(ctx context.Context, directory, query string) []string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+directory+"/resolve?"+query, http.NoBody)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	var out struct {
		Addresses []string `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&out) != nil {
		return nil
	}
	return out.Addresses
}

// share returns how many of the requests sent in a span were served, and how many there were. Those of
// which streams is not empty count only if they are of that kind.
func (c *clients) share(from, to time.Time, only func(*attempt) bool) (served, all int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		if a.sent.Before(from) || !a.sent.Before(to) || only != nil && !only(a) {
			continue
		}
		all++
		if a.whole {
			served++
		}
	}
	return served, all
}
