package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// Names in the deployment.
const (
	modelName    = "reader"
	modelService = "llm"
	plainService = "portal"
	streamHost   = "reader.example"
	plainHost    = "portal.example"
	apiKey       = "key-of-the-first-tenant"
)

// size is how many machines and runners there are in each of three zones.
type size struct {
	fronts, sides int
}

// zones are the availability zones, each in a region of its own.
var zones = []string{"kgn-hall-a", "mbj-hall-1", "mdv-hall"}

// regions are the regions of the zones.
var regions = []string{"kingston", "montego", "mandeville"}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	size     size
	rec      *record
	programs string
	dir      string
	net      string

	store   *standin.Store
	origin  *origin
	runners []*runner
	// processes are the project's programs; fronts and directories are the addresses for clients.
	processes   []*process
	fronts      []string
	readys      []string
	directories []string
	servers     []*http.Server
	originStop  func()
	background  sync.WaitGroup
}

func newDeployment(s size, rec *record, programs, dir string) (*deployment, error) {
	d := &deployment{size: s, rec: rec, programs: programs, dir: dir, store: standin.NewStore(), origin: &origin{},
		net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	if err := d.serve(d.addr(240, 8007), d.store); err != nil {
		return nil, err
	}
	d.store.Put("config", "main", d.config())
	for z := range zones {
		for i := range s.sides {
			host := 100 + z*20 + i
			r := newRunner(fmt.Sprintf("i-%s-%d", zones[z], i), modelService, d.addr(host, 8001), zones[z], modelName, d.store, rec)
			if err := d.addRunner(r); err != nil {
				return nil, err
			}
			d.addProcess(fmt.Sprintf("side-%s-%d", zones[z], i), "silverdeck-sidecar", z, host, "", r.addr)
		}
		plain := newRunner("i-portal-"+zones[z], plainService, d.addr(200+z, 8001), zones[z], "", d.store, rec)
		if err := d.addRunner(plain); err != nil {
			return nil, err
		}
		for i := range s.fronts {
			host := 10 + z*20 + i
			front, ready, directory := d.addr(host, 8005), d.addr(host, 8002), d.addr(host, 8009)
			d.fronts, d.readys, d.directories = append(d.fronts, front), append(d.readys, ready), append(d.directories, directory)
			name := fmt.Sprintf("front-%s-%d", zones[z], i)
			d.addProcess(name+"-gateway", "silverdeck-gateway", z, host, fmt.Sprintf("front: %q, ready: %q", front, ready), "")
			d.addProcess(name+"-directory", "silverdeck-directory", z, host, fmt.Sprintf("directory: %q", directory), "")
		}
	}
	return d, nil
}

func (d *deployment) addr(host, port int) string {
	return fmt.Sprintf("%s.%d:%d", d.net, host, port)
}

func (d *deployment) addRunner(r *runner) error {
	d.runners = append(d.runners, r)
	r.write()
	return d.serve(r.addr, r)
}

func (d *deployment) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	d.servers = append(d.servers, s)
	d.background.Go(func() { _ = s.Serve(l) })
	return nil
}

// setOrigin makes the origin reachable or not. While it is away its port refuses connections.
func (d *deployment) setOrigin(there bool) error {
	if d.originStop != nil {
		d.originStop()
		d.originStop = nil
	}
	d.rec.add("origin there: %t", there)
	if !there {
		return nil
	}
	l, err := net.Listen("tcp4", d.addr(241, 8006))
	if err != nil {
		return err
	}
	s := &http.Server{Handler: d.origin, ReadHeaderTimeout: 10 * time.Second}
	d.background.Go(func() { _ = s.Serve(l) })
	d.originStop = func() { _ = s.Close() }
	return nil
}

// settingsFormat has the fields of the users' settings that the programs read.
const settingsFormat = `node: %q
zone: %q
region: %q
zones: {"kgn-hall-a": "kingston", "mbj-hall-1": "montego", "mdv-hall": "mandeville"}
ip: "%s.%d"
internal_ports: [7700, 7715]
listen: {%s}
app: %q
service: %q
bootstrap: %t
heartbeat_ms: 1200
limits: {memory_mb: %d, link_mbps: %g}
bounds: {contact_ms: 3000, drain_ms: 2000, grace_s: 8, retry_budget_ratio: 0.2, budget_window_s: 10, retry_budget_extra: 100, version_ms: 8000, ttl_max_s: 5}
platform: {address: %q, form: "objects"}
`

// addProcess adds a program that runs on a machine of a zone.
func (d *deployment) addProcess(name, program string, zone, host int, listen, app string) {
	service, memory, link := "", 284, 1000.0
	if app != "" {
		service, memory, link = modelService, 152, 9.4
	}
	settings := func(first bool) string {
		return fmt.Sprintf(settingsFormat, name, zones[zone], regions[zone], d.net, host, listen, app, service, first, memory, link, d.addr(240, 8007))
	}
	d.processes = append(d.processes, &process{name: name, program: filepath.Join(d.programs, program), dir: d.dir, rec: d.rec, settings: settings})
}

type object = map[string]any

// config returns the operator's configuration, with the figures of the users' example.
func (d *deployment) config() object {
	route := func(name, host, kind, service string, timeout, target, priority, attempts int) object {
		return object{"name": name, "hostname": host, "path_prefix": "/go/", "kind": kind, "service": service, "timeout_ms": timeout,
			"target_latency_ms": target, "gap_target_ms": 300, "priority": priority, "max_attempts": attempts, "public": false,
			"stream_resume": kind == "streaming", "session_affinity": kind == "streaming"}
	}
	engine := object{"slots": slots, "kv_capacity_tokens": 685000, "kv_token_bytes": 327680, "link_mbps": 400000, "stride": 6,
		"models": []any{object{"name": modelName, "pace": 1.0, "load_s": 4.0, "warm_s": warmTime.Seconds()}}, "mb": 297000,
		"step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203, "read_per_s": 31900, "pairs_per_m": 0.733, "chunk": 2048,
		"report_lag_ms": 200, "usual": object{"prompt": 973, "answer": 24}, "layers": layers, "layer_mb": 4540, "act_bytes": 16384,
		"chunks": pieces, "chunk_bytes": pieceBytes}
	return object{
		"version": 7,
		"routes": []any{
			route("read", streamHost, "streaming", modelService, 6000, 400, 1, 2),
			route("look-up", plainHost, "unsafe", plainService, 800, 150, 2, 1),
		},
		"services": []any{
			object{"name": modelService, "health_check": "/health", "max_connections": 424, "engine": engine},
			object{"name": "weights", "origin": d.addr(241, 8006), "link_mbps": 15, "max_connections": 48},
			object{"name": plainService, "health_check": "/health", "max_connections": 96},
		},
		"limits":  object{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{object{"name": "first", "api_keys": []string{apiKey}}},
	}
}

// readyTimeout is how long the deployment may take to become ready.
const readyTimeout = 20 * time.Second

// errNotReady means that the deployment did not become ready.
var errNotReady = errors.New("the gateways did not become ready")

// start starts all processes and waits until the gateways are ready.
func (d *deployment) start(ctx context.Context) error {
	if err := d.setOrigin(true); err != nil {
		return err
	}
	if err := d.startAll(true); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !d.ready(ctx) {
		if !sleep(ctx, 100*time.Millisecond) {
			return errNotReady
		}
	}
	sleep(ctx, 5*time.Second) // traffic starts 10 s after the machines
	return nil
}

func (d *deployment) startAll(first bool) error {
	for _, p := range d.processes {
		if err := p.start(first); err != nil {
			return err
		}
	}
	return nil
}

// ready returns whether all gateways say that they are ready.
func (d *deployment) ready(ctx context.Context) bool {
	return !slices.ContainsFunc(d.readys, func(addr string) bool {
		q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/ready", http.NoBody)
		if err != nil {
			return true
		}
		resp, err := http.DefaultClient.Do(q)
		if err != nil {
			return true
		}
		_ = resp.Body.Close()
		return resp.StatusCode != http.StatusOK
	})
}

// nameVersion names new weights. The store's answer is the acknowledgement.
func (d *deployment) nameVersion(version int64) time.Time {
	d.store.Put("versions", modelName, object{"model": modelName, "version": version})
	d.rec.say("version %d of the weights was named and acknowledged", version)
	return time.Now()
}

// models returns the runners that have a model.
func (d *deployment) models() []*runner {
	return slices.DeleteFunc(slices.Clone(d.runners), func(r *runner) bool { return r.model == "" })
}

// restart kills all processes at the same moment and starts them again after down.
func (d *deployment) restart(ctx context.Context, down time.Duration) error {
	d.rec.say("all %d processes are killed", len(d.processes))
	killAll(d.processes)
	sleep(ctx, down)
	if err := d.startAll(false); err != nil {
		return err
	}
	d.rec.say("all processes were started again %v later", down)
	return nil
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	killAll(d.processes)
	if d.originStop != nil {
		d.originStop()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.background.Wait()
}

// sleep waits for d, and returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
