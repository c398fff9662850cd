package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// client sends requests to gateways, one after the other, and returns after a promise when it is told.
type client struct {
	name     string
	gateways []string
	deadline time.Duration
	pause    time.Duration
	record   *record
	http     *http.Client
	sent     int
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) {
	c.http = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	for ctx.Err() == nil {
		c.ask()
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(c.pause)))
	}
}

// ask sends one request, and sends it again after a promise while its deadline has not passed.
func (c *client) ask() {
	until := time.Now().Add(c.deadline)
	for tries := 0; tries < 3; tries++ {
		left := time.Until(until)
		if left < 20*time.Millisecond {
			return
		}
		again, wait := c.try(left)
		if !again {
			return
		}
		time.Sleep(min(wait, left/3))
	}
}

// try makes one attempt, and reports whether the client returns after the given time.
func (c *client) try(left time.Duration) (again bool, wait time.Duration) {
	c.sent++
	id := fmt.Sprintf("%s.%d", c.name, c.sent)
	gateway := c.gateways[rand.IntN(len(c.gateways))]
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+prefix+"2f", strings.NewReader("payload of "+id))
	if err != nil {
		return false, 0
	}
	q.Host = host
	q.Header.Set(attemptHeader, id)
	q.Header.Set(deadlineHeader, strconv.FormatInt(left.Milliseconds(), 10))
	q.Header.Set(keyHeader, apiKey)
	c.record.sent(id, gateway)
	resp, err := c.http.Do(q)
	if err != nil {
		c.record.answered(id, 0, err.Error())
		return false, 0
	}
	body, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil {
		c.record.answered(id, 0, err.Error())
		return false, 0
	}
	c.record.answered(id, resp.StatusCode, strings.TrimSpace(resp.Header.Get(stampHeader)+" "+string(body)))
	if resp.StatusCode != http.StatusServiceUnavailable && resp.StatusCode != http.StatusTooManyRequests {
		return false, 0
	}
	seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	return true, time.Duration(seconds * float64(time.Second))
}
