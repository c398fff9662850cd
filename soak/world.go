package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/silverdeck/silverdeck/standin"
	"github.com/silverdeck/silverdeck/wait"
)

// Config holds a soak's settings.
type Config struct {
	// Seed decides the faults.
	Seed uint64
	// For is how long faults come.
	For time.Duration
	// Entries and Runners are how many of each there are.
	Entries, Runners int
	// Callers is how many send requests at once; 0 means a few.
	Callers int
	// Routes is how many routes the configuration has beside those that are asked for.
	Routes int
	// Events is how many events a stream has and EventPause the time between two; 0 means
	// few and short.
	Events     int
	EventPause time.Duration
	// Mix is what happens meanwhile.
	Mix Mix
	// Spoil names the groups of standin.ShapeGroups in MixSpoiled; none means all.
	Spoil []string
	// Programs is the folder of the built programs. Where Previous is another such folder, of
	// an earlier release, processes start from that and are replaced one by one.
	Programs, Previous string
	// Work is a folder for settings and logs.
	Work string
}

// events returns how many events a stream has.
func (c *Config) events() int {
	if c.Events > 0 {
		return c.Events
	}
	return standin.DefaultEvents
}

// callers returns how many callers there are.
func (c *Config) callers() int {
	if c.Callers > 0 {
		return c.Callers
	}
	return callers
}

// Names of what the operator configures.
const (
	model        = "reader"
	modelService = "llm"
	plainService = "portal"
	streamHost   = "reader.example"
	plainHost    = "portal.example"
	apiKey       = "key-of-acme"
	accountName  = "acme"
)

// world is the system under soak: stand-ins in this process, our programs as
// processes of their own, and proxies between them.
type world struct {
	cfg     Config
	net     string
	store   *standin.Store
	witness *standin.Recorder
	// storeLinks has a proxy before the store for each process, runnerLinks
	// one before each runner.
	storeLinks, runnerLinks []*Proxy
	entries, sidecars       []*process
	entryAddrs              []entryAddr
	runners                 []*slot
	servers                 []*http.Server
	running                 sync.WaitGroup
	version                 int64
	configVersion           int64
	began                   time.Time
	// disturbedAt is until when endpoints were last disturbed, in Unix nanoseconds.
	disturbedAt atomic.Int64
	ledger      *ledger
	fatal       *fatal
	parts       *parts
	heeded      *heeded
	places      *places
	shares      *Shares
	restores    *restores
	late        *late
	spoils      *spoils
	starts      *starts
	beside      *Beside
	// large counts the large requests.
	large *Result

	mu sync.Mutex
	// changes are the configurations that were written, faults what disturbed endpoints
	// and links.
	changes []Change
	faults  []Span
	// streamRegions are the regions that the configuration allows for streams.
	streamRegions []string
	// mostBodies is the most that the bodies of a gateway took, in bytes.
	mostBodies int
}

// newWorld starts everything.
func newWorld(cfg Config) (*world, error) {
	spoils, err := newSpoils(cfg.Spoil)
	if err != nil {
		return nil, err
	}
	w := &world{
		cfg: cfg, net: fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, os.Getpid()/200%250), store: standin.NewStore(),
		witness: standin.NewRecorder(), version: 1, began: time.Now(), ledger: newLedger(), fatal: &fatal{}, parts: newParts(cfg.Seed), heeded: newHeeded(), places: newPlaces(), shares: NewShares(), restores: newRestores(), late: &late{}, spoils: spoils, starts: newStarts(cfg.Mix, cfg.Seed), beside: &Beside{}, large: &Result{},
	}
	if err := w.serve(w.addr(250, portStore), w.store); err != nil {
		return nil, err
	}
	if err := w.serve(w.addr(251, portOrigin), standin.Origin{}); err != nil {
		return nil, err
	}
	w.places.allowed(nil)
	w.configure()
	for i := range cfg.Runners + 1 {
		if err := w.addRunner(i); err != nil {
			return w, err
		}
	}
	for i := range cfg.Entries {
		if err := w.addEntry(i); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	w.serveOn(l, h)
	return nil
}

func (w *world) serveOn(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
}

// prepare makes runner i do what the mix asks for.
func (w *world) prepare(s *slot, i int) {
	switch w.cfg.Mix {
	case MixCrash:
		s.cfg.CrashOn = func(id, body string) bool { return w.fatal.begins(s, id, body) }
	case MixParts:
		s.cfg.CrashOnPrompt = w.parts.reached
		s.cfg.Crash = func() { w.crashUnderPart(s) }
	case MixPlaces:
		w.places.prepare(s)
	case MixOverload:
		prepareOverload(s, i)
	case MixStarts:
		s.cfg.LoadTime = w.starts.loadTime
	case MixRestored, MixLate, MixSpoiled:
		s.cfg.OnArrival = w.restores.arrived
	}
}

// addRunner adds a runner; one that is not plain has a sidecar.
func (w *world) addRunner(i int) error {
	host := 100 + i
	s := &slot{cfg: standin.RunnerConfig{
		Service: plainService, Zone: zone(i), Address: w.addr(host, portRunner), Slots: 16, Recorder: w.witness, Store: w.store,
		Events: w.cfg.Events, EventInterval: w.cfg.EventPause, AbortOnLoad: w.cfg.Mix == MixLong, OnRequest: w.heeded.reached, OnRetryAfter: w.heeded.rested,
	}}
	if !w.isPlain(i) {
		s.cfg.Service, s.cfg.Model = modelService, model
	}
	w.prepare(s, i)
	version := w.version
	if i > 1 && !w.isPlain(i) {
		version = 0
	}
	s.restart(version)
	w.runners = append(w.runners, s)
	direct, err := net.Listen("tcp4", w.addr(host, portDirect))
	if err != nil {
		return err
	}
	w.serveOn(w.listen(direct, s), s)
	newProxy := NewProxy
	if w.cfg.Mix == MixOverload && i == 0 {
		newProxy = NewNarrowProxy
	}
	link, err := newProxy(w.addr(host, portRunner), w.addr(host, portDirect))
	if err != nil {
		return err
	}
	s.link = link
	w.runnerLinks = append(w.runnerLinks, link)
	if w.isPlain(i) {
		return nil
	}
	return w.launch(&w.sidecars, "sidecar", i, host, standin.ProcessSettings{Endpoint: w.addr(host, portDirect), Service: modelService})
}

func (w *world) addEntry(i int) error {
	host := firstEntry + i
	a := entryAddr{callers: w.addr(host, portCallers), directory: w.addr(host, portDirectory), ready: w.addr(host, portReady)}
	w.entryAddrs = append(w.entryAddrs, a)
	return w.launch(&w.entries, "gateway", i, host, standin.ProcessSettings{Callers: a.callers, Ready: a.ready, Directory: a.directory})
}

// launch writes the settings of a process and starts it behind its own link to
// the store.
func (w *world) launch(list *[]*process, role string, i, host int, m standin.ProcessSettings) error {
	store := w.addr(host, portStore)
	link, err := NewProxy(store, w.addr(250, portStore))
	if err != nil {
		return err
	}
	w.storeLinks = append(w.storeLinks, link)
	name := fmt.Sprintf("%s-%d", role, i)
	path := filepath.Join(w.cfg.Work, name+".yaml")
	m.Places = w.cfg.Mix == MixPlaces
	m.Name, m.Zone, m.IP, m.Ports, m.Store = name, zone(i), fmt.Sprintf("%s.%d", w.net, host), [2]int{portPeer, portPeer + 10}, store
	if err := os.WriteFile(path, m.File(), 0o600); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(w.cfg.Work, name+".log"))
	if err != nil {
		return err
	}
	p := newProcess(name, filepath.Join(w.cfg.Programs, "silverdeck-"+role), []string{standin.SettingsEnv + "=" + path}, logs)
	if w.cfg.Previous != "" {
		p.replacement = p.program
		p.program = filepath.Join(w.cfg.Previous, "silverdeck-"+role)
	}
	*list = append(*list, p)
	w.running.Add(1)
	go p.run(&w.running)
	return nil
}

func zone(i int) string {
	return string("ab"[i%2])
}

// noteFault notes that endpoints or links are disturbed for d from now on.
func (w *world) noteFault(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.faults = append(w.faults, Span{From: now, To: now.Add(d)})
}

// history returns what was done to a gateway and around it.
func (w *world) history(gateway string) *History {
	for _, p := range w.entries {
		if p.name != gateway {
			continue
		}
		h := p.history()
		w.mu.Lock()
		defer w.mu.Unlock()
		h.Changes = append(h.Changes, w.changes...)
		h.Faults = append(h.Faults, w.faults...)
		return h
	}
	return &History{}
}

// isHeld implements heldFunc.
func (w *world) isHeld(gateway string, from, to time.Time) bool {
	for _, p := range w.entries {
		if p.name == gateway {
			return !p.history().disturbed(from, to) && p.isToday(from)
		}
	}
	return false
}

// processes returns all of our processes.
func (w *world) processes() []*process {
	return append(append([]*process{}, w.entries...), w.sidecars...)
}

// endAll ends all of our processes for good.
func (w *world) endAll() {
	for _, p := range w.processes() {
		p.stop()
	}
	w.running.Wait()
}

// memoryEvery is how often the memory of processes is looked at.
const memoryEvery = 500 * time.Millisecond

// lookAtMemory looks at the memory of all processes until ctx ends.
func (w *world) lookAtMemory(ctx context.Context) {
	for wait.For(ctx, memoryEvery) {
		for _, p := range w.processes() {
			p.lookAtMemory()
		}
	}
}

// checkProcesses looks at how processes ended and what they held, and returns the most
// memory that one held, in kilobytes.
func (w *world) checkProcesses() int {
	most := 0
	for _, p := range w.processes() {
		p.check(w.witness)
		most = max(most, p.memory)
	}
	return most
}

// close ends everything that was started.
func (w *world) close() {
	w.endAll()
	for _, l := range append(append([]*Proxy{}, w.storeLinks...), w.runnerLinks...) {
		l.Close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
}
