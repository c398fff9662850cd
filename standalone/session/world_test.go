package session_test

import (
	"bytes"
	"cmp"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"
	"github.com/rcrowley/go-metrics"
	"github.com/zeebo/blake3"

	"github.com/silverdeck/silverdeck/standalone/agent"
	"github.com/silverdeck/silverdeck/standalone/entry"
	"github.com/silverdeck/silverdeck/standalone/object"
	"github.com/silverdeck/silverdeck/standalone/objectstore"
	"github.com/silverdeck/silverdeck/standalone/operator"
	"github.com/silverdeck/silverdeck/standalone/secure"
	"github.com/silverdeck/silverdeck/standalone/settings"
	"github.com/silverdeck/silverdeck/standalone/snapshot"
	"github.com/silverdeck/silverdeck/standalone/standin"
	"github.com/silverdeck/silverdeck/telemetry"
)

// The world of a session.
const (
	platformAddr = "10.0.0.1:80"
	originAddr   = "10.0.0.2:80"
	callerKey    = "key of claimsdesk"
	weightsSize  = 64 << 10
	chunkSize    = 16 << 10
)

// world is a whole system on virtual time and a network in memory: the real
// entries and agents, between the stand-ins.
type world struct {
	g        Gomega
	net      *memnet
	log      *transcript
	platform *standin.Platform
	origin   *standin.Origin
	vms      []objectstore.VM
	entries  map[string]*entryProcess
	agents   map[string]*agentProcess
	engines  map[string]*standin.Engine
	plain    map[string]*standin.Plain
	servers  []*http.Server
	client   *http.Client
	unfenced bool
}

type entryProcess struct {
	host *host
	*entry.Entry
	cfg *settings.Entry
}

type agentProcess struct {
	host *host
	*agent.Agent
	cfg *settings.Agent
}

// play runs f in a world of so many entries and model runners, and one plain
// service, on virtual time.
func play(t *testing.T, entries, runners int, f func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			g: NewWithT(t), net: newMemnet(), log: &transcript{began: time.Now()},
			platform: standin.NewPlatform(2000, 100), origin: standin.NewOrigin(0),
			entries: map[string]*entryProcess{}, agents: map[string]*agentProcess{},
			engines: map[string]*standin.Engine{}, plain: map[string]*standin.Plain{},
		}
		outside := w.net.host("outside")
		w.client = &http.Client{Transport: &http.Transport{DialContext: outside.DialContext}}
		w.serve(platformAddr, w.platform)
		w.serve(originAddr, w.origin)
		for _, version := range []string{"v1", "v2"} {
			_, err := w.origin.Put("models/reader/"+version, standin.Weights(version, weightsSize), chunkSize)
			w.g.Expect(err).NotTo(HaveOccurred())
		}
		for i := range entries {
			w.addEntry(i)
		}
		for i := range runners {
			w.addRunner(i)
		}
		w.addPlain()
		w.platform.SetVMs(w.vms)
		f(w)
		w.end()
	})
}

// end stops everything, so that the bubble can close.
func (w *world) end() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	for _, a := range w.agents {
		_ = a.Stop(ctx)
	}
	for _, e := range w.entries {
		_ = e.Stop(ctx)
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.net.mu.Lock()
	hosts := w.net.hosts
	w.net.mu.Unlock()
	for _, h := range hosts {
		h.kill()
	}
	w.client.CloseIdleConnections()
	time.Sleep(5 * time.Minute)
	synctest.Wait()
}

func (w *world) serve(addr string, h http.Handler) {
	host := w.net.host(addr)
	l, err := host.Listen("tcp", addr)
	w.g.Expect(err).NotTo(HaveOccurred())
	s := secure.NewServer(h)
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

func seeds(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("10.1.0.%d:7002", i+1))
	}
	return out
}

func zone(i int) string { return string(rune('a' + i%2)) }

func (w *world) addEntry(i int) {
	ip := fmt.Sprintf("10.1.0.%d", i+1)
	cfg := settings.DefaultEntry()
	cfg.Identity = telemetry.Identity{VM: fmt.Sprintf("entry-%d", i), Zone: zone(i), Region: "east"}
	cfg.Caller, cfg.Operator, cfg.Peer = ip+":7000", ip+":7001", ip+":7002"
	cfg.Telemetry.Observe = ip + ":7003"
	cfg.Platform, cfg.Origin = []string{"http://" + platformAddr}, "http://"+originAddr
	cfg.Seeds = seeds(2)
	w.vms = append(w.vms, objectstore.VM{
		Name: cfg.VM, Addr: cfg.Peer, Caller: cfg.Caller, Role: objectstore.RoleEntry, Zone: cfg.Zone, Region: "east",
	})
	w.startEntry(cfg)
}

// startEntry starts an entry that knows nothing.
func (w *world) startEntry(cfg *settings.Entry) {
	h := w.net.host(cfg.VM)
	e, err := entry.New(cfg, h, w.logger(cfg.Identity), telemetry.NoTracer(), metrics.NewRegistry())
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(e.Start(context.Background())).To(Succeed())
	w.entries[cfg.VM] = &entryProcess{host: h, Entry: e, cfg: cfg}
}

func (w *world) addRunner(i int) {
	ip := fmt.Sprintf("10.2.0.%d", i+1)
	name := fmt.Sprintf("runner-%d", i)
	reader := w.net.host(name + "-engine")
	e := standin.NewEngine(standin.EngineConfig{
		Fenced: !w.unfenced, Slots: 8, TokenTime: 10 * time.Millisecond, LoadTime: 50 * time.Millisecond,
		HTTP: &http.Client{Transport: &http.Transport{DialContext: reader.DialContext}},
	})
	w.engines[name] = e
	w.serve(ip+":8000", w.recorded(name, e))
	w.addAgent(name, ip, objectstore.RoleModel, zone(i))
}

func (w *world) addPlain() {
	p := standin.NewPlain()
	w.plain["quotes-0"] = p
	w.serve("10.3.0.1:8000", p)
	w.addAgent("quotes-0", "10.3.0.1", objectstore.RolePlain, "a")
}

func (w *world) addAgent(name, ip string, role objectstore.Role, zone string) {
	cfg := settings.DefaultAgent()
	cfg.Identity = telemetry.Identity{VM: name, Zone: zone, Region: "east"}
	cfg.Peer, cfg.Engine, cfg.Telemetry.Observe = ip+":7000", "http://"+ip+":8000", ip+":7001"
	cfg.Entries, cfg.Origin, cfg.Plain = seeds(2), "http://"+originAddr, role == objectstore.RolePlain
	w.vms = append(w.vms, objectstore.VM{Name: name, Addr: cfg.Peer, Role: role, Zone: zone, Region: "east"})
	w.startAgent(cfg)
}

// startAgent starts an agent that knows nothing.
func (w *world) startAgent(cfg *settings.Agent) {
	h := w.net.host(cfg.VM)
	a, err := agent.New(cfg, h, w.logger(cfg.Identity), telemetry.NoTracer(), metrics.NewRegistry())
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(a.Start(context.Background())).To(Succeed())
	w.agents[cfg.VM] = &agentProcess{host: h, Agent: a, cfg: cfg}
}

// killAgent ends an agent at once, without a word.
func (w *world) killAgent(name string) {
	a := w.agents[name]
	a.host.kill()
	delete(w.agents, name)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = a.Stop(ctx)
}

// killEntry ends an entry at once, without a word.
func (w *world) killEntry(name string) {
	e := w.entries[name]
	e.host.kill()
	delete(w.entries, name)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = e.Stop(ctx)
}

func (w *world) logger(id telemetry.Identity) *log.Logger {
	return telemetry.NewLogger(w.log, "info", id)
}

// recorded notes the orders that reach an engine.
func (w *world) recorded(name string, h http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/orders" {
			b, _ := io.ReadAll(r.Body)
			r.Body = io.NopCloser(bytes.NewReader(b))
			w.log.note("engine of "+name, "order %s", b)
		}
		h.ServeHTTP(rw, r)
	})
}

func digest(key string) string {
	sum := blake3.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// basics are the objects that most sessions begin with.
func basics(batch int) []snapshot.Change {
	objects := []object.Object{
		{Kind: object.KindModel, Name: "reader", Spec: &object.ModelSpec{Source: "models/reader"}},
		{Kind: object.KindAccount, Name: "claimsdesk", Spec: &object.AccountSpec{KeyDigests: []string{digest(callerKey)}}},
		{Kind: object.KindRollout, Name: "reader", Spec: &object.RolloutSpec{
			Model: "reader", Weights: "v1", VMs: "role=model", Strategy: object.Strategy{Batch: batch},
		}},
		{Kind: object.KindService, Name: "claims", Spec: &object.ServiceSpec{Model: "reader", VMs: "role=model", TimeoutMillis: 20_000}},
		{Kind: object.KindService, Name: "quotes", Spec: &object.ServiceSpec{VMs: "role=plain", TimeoutMillis: 5_000}},
	}
	var out []snapshot.Change
	for _, o := range objects {
		out = append(out, snapshot.Change{Op: snapshot.OpPut, Object: o})
	}
	return out
}

func (w *world) operator(entry int, name string) *operator.Client {
	return &operator.Client{Base: fmt.Sprintf("http://10.1.0.%d:7001", entry+1), Operator: name, HTTP: w.client}
}

// apply has an operator ask an entry for changes, and notes the answer.
func (w *world) apply(entry int, name string, base int64, changes ...snapshot.Change) (*operator.ApplyResult, error) {
	b, _ := json.Marshal(changes)
	w.log.note("operator "+name, "apply at entry-%d: %s", entry, b)
	r, err := w.operator(entry, name).Apply(context.Background(), operator.ApplyRequest{Changes: changes, Base: base})
	if err != nil {
		w.log.note("operator "+name, "refused: %v", err)
		return nil, err
	}
	w.log.note("operator "+name, "accepted as revision %d", r.Revision)
	return r, nil
}

// find returns an object as the first entry has it.
func (w *world) find(kind object.Kind, name string) object.Object {
	s, err := w.operator(0, "reader").Snapshot(context.Background())
	w.g.Expect(err).NotTo(HaveOccurred())
	o := s.Find(object.Ref{Kind: kind, Name: name})
	w.g.Expect(o).NotTo(BeNil())
	return *o
}

// live waits until a rollout is live everywhere, as an entry knows.
func (w *world) live(entry int, weights string, replicas int, limit time.Duration) {
	began := time.Now()
	for time.Since(began) < limit {
		s, err := w.operator(entry, "reader").Status(context.Background())
		if err == nil && len(s.Rollouts) == 1 && s.Rollouts[0].Weights == weights && s.Rollouts[0].Live == replicas {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s, _ := w.operator(entry, "reader").Status(context.Background())
	w.g.Expect(s).To(BeNil(), "not live in time")
}

// answer is what a caller got.
type answer struct {
	status  int
	header  http.Header
	body    string
	err     error
	prompt  string
	started time.Time
	took    time.Duration
	// marked is set if a length or chunks tell where the answer ends.
	marked bool
}

// ask sends a request of n words to the model by an entry.
func (w *world) ask(entry int, prompt string, n int, headers ...string) answer {
	body := fmt.Sprintf(`{"model":"claims","max_tokens":%d,"messages":[%q]}`, n, prompt)
	a := w.send(entry, "/v1/chat/completions", body, headers...)
	a.prompt = fmt.Sprintf("[%q]", prompt)
	return a
}

func (w *world) send(entry int, path, body string, headers ...string) answer {
	a := answer{started: time.Now()}
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://10.1.0.%d:7000%s", entry+1, path), strings.NewReader(body))
	w.g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set("Authorization", "Bearer "+callerKey)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := w.client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	a.status, a.header, a.body, a.err = resp.StatusCode, resp.Header, string(b), err
	a.took = time.Since(a.started)
	a.marked = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return a
}

// right returns whether a is the whole answer to its own request, from one
// complete version.
func (a answer) right(n int) bool {
	var c standin.Completion
	if a.err != nil || a.status != http.StatusOK || json.Unmarshal([]byte(a.body), &c) != nil || len(c.Choices) != 1 {
		return false
	}
	complete := false
	for _, version := range []string{"v1", "v2"} {
		sum := blake3.Sum256(standin.Weights(version, weightsSize))
		complete = complete || c.SystemFingerprint == hex.EncodeToString(sum[:])
	}
	return complete && c.Choices[0].Message.Content == strings.Join(standin.Words(c.SystemFingerprint, a.prompt, n), " ")
}

// runs counts how often engines ran a prompt.
func (w *world) runs(a answer) int {
	sum := blake3.Sum256([]byte(a.prompt))
	key := hex.EncodeToString(sum[:8])
	n := 0
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			if r.Key == key {
				n++
			}
		}
	}
	return n
}

// step is how finely a transcript tells the time, in seconds. Within a step the
// order of sides that do not wait for each other may vary from run to run.
const step = 2

// transcript gathers what all sides of a session say.
type transcript struct {
	began time.Time

	mu    sync.Mutex
	lines []line
}

// line is what one side says at one time.
type line struct {
	second    int
	who, text string
}

// Write takes a log line of a process.
func (t *transcript) Write(b []byte) (int, error) {
	var fields map[string]any
	if err := json.Unmarshal(b, &fields); err != nil {
		return 0, err
	}
	who := fmt.Sprint(fields["vm"])
	msg := fmt.Sprint(fields["msg"])
	for _, k := range []string{"time", "vm", "zone", "region", "msg", "level", "stats"} {
		delete(fields, k)
	}
	rest, _ := json.Marshal(fields)
	t.note(who, "%s %s", msg, rest)
	return len(b), nil
}

func (t *transcript) note(who, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lines = append(t.lines, line{second: step * int(time.Since(t.began).Seconds()/step), who: who, text: fmt.Sprintf(format, args...)})
}

// text returns the transcript step by step, and within one by who speaks;
// what happens at one instant has no order of its own.
func (t *transcript) text() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := slices.Clone(t.lines)
	slices.SortStableFunc(lines, func(a, b line) int {
		if c := cmp.Compare(a.second, b.second); c != 0 {
			return c
		}
		return cmp.Compare(a.who, b.who)
	})
	var b strings.Builder
	for _, l := range lines {
		fmt.Fprintf(&b, "%4d s  %-18s %s\n", l.second, l.who, l.text)
	}
	return b.String()
}

// until waits for a time of the session, in seconds.
func (w *world) until(second float64) {
	time.Sleep(time.Until(w.log.began.Add(time.Duration(second * float64(time.Second)))))
}
