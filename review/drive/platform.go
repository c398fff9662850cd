// Command drive plays the cases of the review: it starts the project's programs as processes on
// loopback addresses, with stand-ins of the platform, of runners and of clients in its own process.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/silverdeck/silverdeck/standin"
)

// Ports of the processes, each of which has an address of its own.
const (
	portStore = 8007
	portFront = 8005
	portReady = 8002
	portApp   = 8101
	portPeer  = 7700
)

// Names that the operator configures.
const (
	host    = "jepu9.example"
	apiKey  = "jnbanfqasnmgkcuyj8pj"
	tenant  = "bozi300"
	prefix  = "/lepu270/"
	service = "quote-api"
)

// settingsFormat is the settings file of a process, with the values of the pages' example.
const settingsFormat = `node: %q
role: %q
machine_class: %q
zone: %q
region: "hu-central"
zones: {"bud-hall-a": "hu-central", "vie-hall-2": "at-east", "fra-zone-c": "de-south"}
ip: %q
internal_ports: [%d, %d]
listen: {front: %q, ready: %q}
seeds: []
bootstrap: true
heartbeat_ms: 1200
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8,
  loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, retry_budget_ratio: 0.2,
  budget_window_s: 10, retry_budget_extra: 102, recovery_s: 12, pass_ms: 120, version_ms: 8000, ttl_max_s: 5}
platform: {address: %q, form: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576}
`

// platform is the store, the processes and the addresses of one run.
type platform struct {
	net   string
	work  string
	store *standin.Store

	mu        sync.Mutex
	processes []*exec.Cmd
	// fronts holds the gateways by machine.
	fronts map[int]*exec.Cmd
}

// newPlatform opens the store at an address whose neighbours are free as well.
func newPlatform() (*platform, error) {
	work, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	p := &platform{work: work, store: standin.NewStore(), fronts: map[int]*exec.Cmd{}}
	for i := range 50 {
		p.net = fmt.Sprintf("127.%d.%d", 30+os.Getpid()%200, (os.Getpid()/200+i)%250)
		l, err := net.Listen("tcp4", p.addr(250, portStore))
		if err != nil {
			continue
		}
		s := &http.Server{Handler: p.store, ReadHeaderTimeout: time.Minute}
		go func() { _ = s.Serve(l) }()
		return p, nil
	}
	return nil, fmt.Errorf("no free address for the store")
}

func (p *platform) addr(machine, port int) string {
	return fmt.Sprintf("%s.%d:%d", p.net, machine, port)
}

var zones = []string{"bud-hall-a", "vie-hall-2", "fra-zone-c"}

// startGateway starts the program of the role gateway on a front machine, with the command of the
// deploy file.
func (p *platform) startGateway(machine int) error {
	name := fmt.Sprintf("front-%s-%d", zones[machine%len(zones)], machine)
	settings := fmt.Sprintf(settingsFormat, name, "gateway", "front", zones[machine%len(zones)], fmt.Sprintf("%s.%d", p.net, machine),
		portPeer, portPeer+15, p.addr(machine, portFront), p.addr(machine, portReady), p.addr(250, portStore))
	path := filepath.Join(p.work, name+".yaml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(p.work, name+".log"))
	if err != nil {
		return err
	}
	c := exec.Command("target/silverdeck-gateway")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), standin.SettingsEnv + "=" + path}
	c.Stdout, c.Stderr = logs, logs
	if err := c.Start(); err != nil {
		return err
	}
	p.add(c)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fronts[machine] = c
	return nil
}

// restartGateway kills the gateway on a front machine and starts it again a little later.
func (p *platform) restartGateway(machine int) error {
	p.mu.Lock()
	c := p.fronts[machine]
	p.mu.Unlock()
	if err := c.Process.Kill(); err != nil {
		return err
	}
	_ = c.Wait()
	time.Sleep(500 * time.Millisecond)
	return p.startGateway(machine)
}

// add adds a process that is to be ended.
func (p *platform) add(c *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes = append(p.processes, c)
}

// awaitReady waits until the gateways on the given number of front machines say that they are ready.
func (p *platform) awaitReady(machines int) error {
	client := &http.Client{Timeout: time.Second}
	until := time.Now().Add(20 * time.Second)
	for machine := 1; machine <= machines; machine++ {
		for {
			resp, err := client.Get("http://" + p.addr(machine, portReady) + "/ready")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(until) {
				return fmt.Errorf("gateway %d is not ready", machine)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// close ends all processes.
func (p *platform) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.processes {
		_ = c.Process.Kill()
		_ = c.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(p.work)
	}
}
