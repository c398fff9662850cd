package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
)

// The service of the cases with streams.
const (
	streamRunners = 7
	streamSlots   = 16
	streamClients = 90
	streamService = "silverdeck-llm"
	streamHost    = "xati81.example"
	// unframedRunners of the runners send one in unframedEvery of their answers without a length.
	unframedRunners = 3
	unframedEvery   = 20
)

// runnerProcess is the process of a streamRunner.
type runnerProcess struct {
	id, addr, zone string
	command        *exec.Cmd
}

// startRunner starts a runner at an address and writes its entry to the store.
func startRunner(p *platform, r *record, id string, machine, unframed int) (*runnerProcess, error) {
	n := &runnerProcess{id: id, addr: p.addr(machine, portApp), zone: zones[machine%len(zones)]}
	n.command = exec.Command(os.Args[0], "runner", "-id", id, "-addr", n.addr, "-unframed", strconv.Itoa(unframed), "-slots", strconv.Itoa(streamSlots))
	out, err := n.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := n.command.Start(); err != nil {
		return nil, err
	}
	p.add(n.command)
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			r.note("%s", lines.Text())
		}
	}()
	time.Sleep(100 * time.Millisecond)
	n.write(p, "ready")
	return n, nil
}

// write writes the runner's entry.
func (n *runnerProcess) write(p *platform, state string) {
	p.store.Put("servers", n.id, map[string]any{"service": streamService, "address": n.addr, "zone": n.zone, "version": "1",
		"slots": streamSlots, "state": state, "cold_remaining_ms": 0, "sequence": 1,
		"stage": "prefill_decode", "models": []any{map[string]any{"name": modelName, "version": 1, "adapters": []any{}}}})
}

// askForStreams asks for one stream after the other until ctx ends.
func askForStreams(ctx context.Context, r *record, name string, fronts []string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}
	for n := 1; ctx.Err() == nil; n++ {
		askForStream(r, client, fmt.Sprintf("%s.%d", name, n), fronts[rand.IntN(len(fronts))])
		time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(100*time.Millisecond)))
	}
}

// askForStream makes one attempt.
func askForStream(r *record, client *http.Client, id, gateway string) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+prefix+"2f", strings.NewReader("payload of "+id))
	if err != nil {
		return
	}
	q.Host = streamHost
	for name, value := range map[string]string{attemptHeader: id, deadlineHeader: "6000", keyHeader: apiKey, "X-Silverdeck-Model": modelName,
		"X-Silverdeck-Token-Counts": "650,150", "X-Silverdeck-Prompt-Prefix": "5c1e07a2:40," + fmt.Sprintf("%x:610", rand.Uint32())} {
		q.Header.Set(name, value)
	}
	r.sent(id, gateway)
	resp, err := client.Do(q)
	if err != nil {
		r.answered(id, 0, err.Error())
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		r.answered(id, resp.StatusCode, strings.TrimSpace(string(body)))
		return
	}
	framing := "by close"
	if resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
		framing = "by length or chunks"
	}
	events := strings.Count(string(body), "\n\n")
	r.stream(id, events, framing, resp.Header.Get(stampHeader), string(body), err)
}

// stream records the end of a stream, and whether it breaks ORDER.
func (r *record) stream(id string, events int, framing, stamp, body string, failure error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts[id].status = http.StatusOK
	r.add("request %s answered 200 %s, %d of %d events, framed %s, error: %v", id, stamp, events, streamEvents, framing, failure)
	var want strings.Builder
	for n := range events {
		fmt.Fprintf(&want, "id: %d\ndata: piece %d of %s\n\n", n+1, n+1, id)
	}
	switch {
	case failure == nil && events < streamEvents:
		r.order = append(r.order, fmt.Sprintf("request %s ended as complete after %d of %d events, framed %s", id, events, streamEvents, framing))
	case !strings.HasPrefix(body, want.String()):
		r.order = append(r.order, fmt.Sprintf("request %s got other events than its runner sent", id))
	}
}

// streamConfiguration is the operator's, with one route whose streams may be resumed.
func streamConfiguration() map[string]any {
	c := configuration()
	c["routes"] = []any{map[string]any{"name": "move-explainer", "hostname": streamHost, "path_prefix": prefix, "kind": "streaming", "service": streamService,
		"timeout_ms": 6000, "target_latency_ms": 400, "gap_target_ms": 300, "max_attempts": 2, "priority": 1, "stream_resume": true, "session_affinity": true}}
	c["services"] = []any{map[string]any{"name": streamService, "max_connections": 194, "health_check": "/health"}}
	return c
}
