package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
)

// process is one of the project's programs.
type process struct {
	name, program, dir string
	rec                *record
	// settings returns the settings file; first is set at the first start of the whole system.
	settings func(first bool) string

	mu      sync.Mutex
	command *exec.Cmd
	logs    *os.File
}

// start writes the settings file and starts the program.
func (p *process) start(first bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	path := filepath.Join(p.dir, p.name+".yaml")
	if err := os.WriteFile(path, []byte(p.settings(first)), 0o600); err != nil {
		return err
	}
	if p.logs == nil {
		logs, err := os.Create(filepath.Join(p.dir, p.name+".log"))
		if err != nil {
			return err
		}
		p.logs = logs
	}
	p.command = exec.Command(p.program)
	p.command.Stdout, p.command.Stderr = p.logs, p.logs
	p.command.Env = []string{"SILVERDECK_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "LANG=C"}
	p.rec.add("start %s", p.name)
	return p.command.Start()
}

// signal sends SIGKILL without waiting for the end.
func (p *process) signal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Process.Signal(syscall.SIGKILL)
	}
}

// wait waits until the program has ended.
func (p *process) wait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil {
		_ = p.command.Wait()
	}
	p.command = nil
}

// killAll kills all processes at the same moment and waits until they have ended.
func killAll(list []*process) {
	for _, p := range list {
		p.signal()
	}
	for _, p := range list {
		p.wait()
	}
}
