package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"github.com/silverdeck/silverdeck/agent"
	"github.com/silverdeck/silverdeck/entry"
	"github.com/silverdeck/silverdeck/object"
	"github.com/silverdeck/silverdeck/objectstore"
	"github.com/silverdeck/silverdeck/operator"
	"github.com/silverdeck/silverdeck/secure"
	"github.com/silverdeck/silverdeck/settings"
	"github.com/silverdeck/silverdeck/snapshot"
	"github.com/silverdeck/silverdeck/standin"
	"github.com/silverdeck/silverdeck/telemetry"
)

// tokenTime is how long the stand-in engines take for a token.
const tokenTime = 2 * time.Millisecond

// fleet is one entry before some endpoints, in one process, on loopback.
type fleet struct {
	args
	entry  *entry.Entry
	agents []*agent.Agent
	client *http.Client
	caller string
	port   int
	// capacity is how many long requests a second the fleet can run.
	capacity float64
}

func (f *fleet) addr() string {
	f.port++
	return fmt.Sprintf("127.0.0.1:%d", f.port)
}

func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return nil
}

func startFleet(a args) (*fleet, error) {
	f := &fleet{args: a, port: a.BasePort, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}}
	platformAddr, originAddr := f.addr(), f.addr()
	p, o := standin.NewPlatform(2000, 100), standin.NewOrigin(0)
	if _, err := o.Put("models/reader/v1", standin.Weights("v1", 1<<20), 64<<10); err != nil {
		return nil, err
	}
	if err := serve(platformAddr, p); err != nil {
		return nil, err
	}
	if err := serve(originAddr, o); err != nil {
		return nil, err
	}
	cfg := settings.DefaultEntry()
	cfg.Identity = settings.Identity{VM: "entry-0", Zone: "a", Region: "r"}
	cfg.Caller, cfg.Operator, cfg.Peer, cfg.Telemetry.Observe = f.addr(), f.addr(), f.addr(), f.addr()
	cfg.Platform, cfg.Origin = []string{"http://" + platformAddr}, "http://"+originAddr
	f.caller = cfg.Caller
	vms := []objectstore.VM{{Name: cfg.VM, Addr: cfg.Peer, Caller: cfg.Caller, Role: objectstore.RoleEntry, Zone: "a", Region: "r"}}
	quiet := log.New(io.Discard)
	var err error
	if f.entry, err = entry.New(cfg, secure.NewNetwork(), quiet, telemetry.NoTracer(), metrics.NewRegistry()); err != nil {
		return nil, err
	}
	if err = f.entry.Start(context.Background()); err != nil {
		return nil, err
	}
	for i := range a.Runners {
		vm, err := f.startRunner(i, cfg, quiet)
		if err != nil {
			return nil, err
		}
		vms = append(vms, vm)
	}
	p.SetVMs(vms)
	return f, f.configure(cfg.Operator)
}

func (f *fleet) startRunner(i int, e *settings.Entry, quiet *log.Logger) (objectstore.VM, error) {
	engine := standin.NewEngine(standin.EngineConfig{Fenced: true, Slots: f.Slots, TokenTime: tokenTime})
	engineAddr := f.addr()
	if err := serve(engineAddr, engine); err != nil {
		return objectstore.VM{}, err
	}
	cfg := settings.DefaultAgent()
	cfg.Identity = settings.Identity{VM: fmt.Sprintf("runner-%d", i), Zone: "a", Region: "r"}
	cfg.Peer, cfg.Telemetry.Observe, cfg.Engine = f.addr(), f.addr(), "http://"+engineAddr
	cfg.Entries, cfg.Origin, cfg.Slots, cfg.Queue = []string{e.Peer}, e.Origin, f.Slots, 2*f.Slots
	a, err := agent.New(cfg, secure.NewNetwork(), quiet, telemetry.NoTracer(), metrics.NewRegistry())
	if err != nil {
		return objectstore.VM{}, err
	}
	if err := a.Start(context.Background()); err != nil {
		return objectstore.VM{}, err
	}
	f.agents = append(f.agents, a)
	return objectstore.VM{Name: cfg.VM, Addr: cfg.Peer, Role: objectstore.RoleModel, Zone: "a", Region: "r"}, nil
}

// configure applies a model and services of all classes, and waits until all
// endpoints serve.
func (f *fleet) configure(addr string) error {
	c := &operator.Client{Base: "http://" + addr, Operator: "bench", HTTP: f.client}
	objects := []object.Object{
		{Kind: object.KindModel, Name: "reader", Spec: &object.ModelSpec{Source: "models/reader"}},
		{Kind: object.KindRollout, Name: "reader", Spec: &object.RolloutSpec{Model: "reader", Weights: "v1", VMs: "role=model"}},
	}
	for _, class := range []object.Class{object.ClassUrgent, object.ClassNormal, object.ClassBulk} {
		objects = append(objects, object.Object{Kind: object.KindService, Name: string(class), Spec: &object.ServiceSpec{
			Model: "reader", Class: class, TimeoutMillis: 20_000,
		}})
	}
	var changes []snapshot.Change
	for _, o := range objects {
		changes = append(changes, snapshot.Change{Op: snapshot.OpPut, Object: o})
	}
	for range 100 {
		if _, err := c.Apply(context.Background(), operator.ApplyRequest{Changes: changes}); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	for range 300 {
		s, err := c.Status(context.Background())
		if err == nil && len(s.Rollouts) == 1 && s.Rollouts[0].Live == f.Runners {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("the rollout is not live on %d runners", f.Runners)
}

func (f *fleet) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for _, a := range f.agents {
		_ = a.Stop(ctx)
	}
	_ = f.entry.Stop(ctx)
}

// attempts counts the requests that reached agents.
func (f *fleet) attempts() int {
	n := 0
	for _, a := range f.agents {
		n += int(a.Attempts())
	}
	return n
}

// reply is what came of a request.
type reply struct {
	ok      bool
	status  int
	took    time.Duration
	first   time.Duration
	between []time.Duration
}

// ask sends a streamed request of n tokens.
func (f *fleet) ask(service string, n int, seq int) reply {
	body, _ := json.Marshal(map[string]any{"model": service, "stream": true, "max_tokens": n, "messages": []string{fmt.Sprint(service, seq)}})
	began := time.Now()
	r, err := f.client.Post("http://"+f.caller+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		return reply{took: time.Since(began)}
	}
	defer func() { _ = r.Body.Close() }()
	out := reply{status: r.StatusCode}
	var all []byte
	b := make([]byte, 32<<10)
	last := began
	for {
		m, err := r.Body.Read(b)
		if m > 0 {
			now := time.Now()
			if out.first == 0 {
				out.first = now.Sub(began)
			} else {
				out.between = append(out.between, now.Sub(last))
			}
			last = now
			all = append(all, b[:m]...)
		}
		if err != nil {
			break
		}
	}
	out.took = time.Since(began)
	out.ok = r.StatusCode == http.StatusOK && bytes.Contains(all, []byte("[DONE]"))
	return out
}
