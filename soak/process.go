package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// process is one of our programs, started again whenever it ends. It is safe
// for concurrent use.
type process struct {
	name    string
	program string
	env     []string
	logs    *os.File

	mu      sync.Mutex
	command *exec.Cmd
	down    bool
	// disturbed is when a fault last struck it, planned when it was last asked to stop.
	disturbed, planned time.Time
	starts             int
}

// restartPause is the time between an end and the next start.
const restartPause = 200 * time.Millisecond

func newProcess(name, program string, env []string, logs *os.File) *process {
	return &process{name: name, program: program, env: env, logs: logs}
}

// run starts the program again and again until stop.
func (p *process) run(done *sync.WaitGroup) {
	defer done.Done()
	for {
		command, err := p.start()
		if command == nil {
			return
		}
		if err == nil {
			_ = command.Wait()
		}
		time.Sleep(restartPause)
	}
}

func (p *process) start() (*exec.Cmd, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, nil
	}
	p.command = exec.Command(p.program)
	p.command.Env = append(os.Environ(), p.env...)
	p.command.Stdout = p.logs
	p.command.Stderr = p.logs
	p.starts++
	return p.command, p.command.Start()
}

// signal sends s to the running program. A planned stop is noted apart from faults.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	if s == syscall.SIGTERM {
		p.planned = time.Now()
	} else {
		p.disturbed = time.Now()
	}
	_ = p.command.Process.Signal(s)
}

// stop ends the program for good.
func (p *process) stop() {
	p.mu.Lock()
	p.down = true
	p.mu.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
}

// onlyPlanned returns whether the process was asked to stop since a time, and
// no fault struck it since a while before.
func (p *process) onlyPlanned(since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.planned.After(since.Add(-plannedWindow)) && p.disturbed.Before(since.Add(-faultMemory))
}

// What excuses a process.
const (
	// plannedWindow is how long a planned stop may take: the platform's grace_s.
	plannedWindow = 8 * time.Second
	// faultMemory is for how long after its end a fault excuses what is cut. Chosen by
	// judgement.
	faultMemory = 3 * time.Second
)
