package soak

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/silverdeck/silverdeck/standin"
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
	// stops, reloads and faults are all such times.
	stops, reloads, faults []time.Time
	// frozenAt is when it was frozen, or zero while it runs. away are the times in which it did not
	// run, or had just begun to.
	frozenAt time.Time
	away     []Span
	// replacement is the program that takes the place of program, or empty; replacedAt is when
	// it did.
	replacement string
	replacedAt  time.Time
	// asked is set once the running program was told to end.
	asked bool
	// selfEnded is how often it ended without that.
	selfEnded int
	// memory is the most that a life of the program was seen to hold, in kilobytes.
	memory int
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
			p.noteEnd()
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
	p.asked = false
	return p.command, p.command.Start()
}

// signal sends s to the running program. A planned stop is noted apart from faults.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	now := time.Now()
	switch s {
	case syscall.SIGTERM:
		p.planned = now
		p.stops = append(p.stops, now)
		p.asked = true
	case syscall.SIGHUP:
		p.disturbed = now
		p.reloads = append(p.reloads, now)
	default:
		p.disturbed = now
		p.faults = append(p.faults, now)
		p.asked = p.asked || s == syscall.SIGKILL
	}
	p.noteAway(s, now)
	_ = p.command.Process.Signal(s)
}

// noteAway notes when a signal keeps the program from running. The caller holds the lock.
func (p *process) noteAway(s syscall.Signal, now time.Time) {
	switch {
	case s == syscall.SIGSTOP && p.frozenAt.IsZero():
		p.frozenAt = now
	case s == syscall.SIGCONT && !p.frozenAt.IsZero():
		p.away = append(p.away, Span{From: p.frozenAt, To: now.Add(restartPause)})
		p.frozenAt = time.Time{}
	case s == syscall.SIGKILL:
		p.away = append(p.away, Span{From: now, To: now.Add(faultMemory)})
	}
}

// isAway returns whether the program did not run, or had just begun to, at some time of a span.
func (p *process) isAway(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := History{Faults: p.away}
	return h.faultWithin(from, to)
}

// Gaps of a series of signals, as of a supervisor that asks again.
const (
	// askedAgain is when a process is asked to stop once more, in the middle of its stop.
	askedAgain = 150 * time.Millisecond
	// askedOften is how often it is asked again.
	askedOften = 8
)

// askToStop asks the running program to stop, again and again as long as it runs. Only the
// first counts as planned: the others must change nothing.
func (p *process) askToStop() {
	p.signal(syscall.SIGTERM)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	if p.replacement != "" {
		return // the release before ended at the second signal
	}
	running := p.command.Process
	for i := range askedOften {
		time.AfterFunc(time.Duration(i+1)*askedAgain, func() { _ = running.Signal(syscall.SIGTERM) })
	}
}

// replace ends the program as planned and starts its replacement in its place, if it has one.
func (p *process) replace() {
	p.mu.Lock()
	program := p.replacement
	if program != "" {
		p.program, p.replacement, p.replacedAt = program, "", time.Now()
	}
	p.mu.Unlock()
	if program != "" {
		p.signal(syscall.SIGTERM)
	}
}

// isToday returns whether at a time the process had run today's program for a while.
func (p *process) isToday(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.replacement == "" && at.Sub(p.replacedAt) > plannedWindow
}

// standStill keeps the program from running for d, as a busy VM does. It excuses nothing.
func (p *process) standStill(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	now := time.Now()
	p.away = append(p.away, Span{From: now, To: now.Add(d + restartPause)})
	running := p.command.Process
	_ = running.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { _ = running.Signal(syscall.SIGCONT) })
}

// noteEnd notes that the running program ended, and whether nobody asked it to.
func (p *process) noteEnd() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.asked {
		p.selfEnded++
	}
}

// lookAtMemory notes the most memory that the running program has held. What the kernel tells
// of one that ended counts the memory of the process that started it, too.
func (p *process) lookAtMemory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return // it has just ended
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	var held int
	if _, err := fmt.Sscan(after, &held); err == nil {
		p.memory = max(p.memory, held)
	}
}

// check notes what the process did that no program of ours may do.
func (p *process) check(w *standin.Recorder) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.selfEnded > 0 {
		w.AddViolation("%s ended by itself %d times", p.name, p.selfEnded)
	}
	if limit := standin.MemoryLimitMB << 10; p.memory > limit {
		w.AddViolation("%s held %d KB of the %d that it may", p.name, p.memory, limit)
	}
}

// history returns what was done to the process.
func (p *process) history() *History {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := &History{Stops: append([]time.Time{}, p.stops...), Reloads: append([]time.Time{}, p.reloads...)}
	for _, at := range p.faults {
		h.Faults = append(h.Faults, Span{From: at, To: at.Add(restartPause)})
	}
	return h
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
	// faultMemory is for how long after its end a fault excuses what is cut.
	faultMemory = 3 * time.Second
)
