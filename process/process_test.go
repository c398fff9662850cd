package process_test

import (
	"bufio"
	"context"
	"errors"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"github.com/silverdeck/silverdeck/process"
	"github.com/silverdeck/silverdeck/telemetry"
)

// childVariable makes the test binary run a service instead of tests.
const childVariable = "SILVERDECK_TEST_SERVICE"

// Services that a child runs.
const (
	failsToStop  = "fails to stop"
	askedAtStart = "is asked to stop while it starts"
)

func TestMain(m *testing.M) {
	kind := os.Getenv(childVariable)
	if kind == "" {
		os.Exit(m.Run())
	}
	newService := func(l *log.Logger) *service { return &service{kind: kind, log: l} }
	process.Run[*service]("test", telemetry.Identity{}, telemetry.Settings{LogLevel: "info"}, time.Second, newService)
}

// service is a program that says when it starts and stops.
type service struct {
	kind string
	log  *log.Logger
}

func (s *service) Start(context.Context) error {
	s.log.Info("started")
	if s.kind == askedAtStart {
		return syscall.Kill(os.Getpid(), syscall.SIGTERM)
	}
	return nil
}

func (s *service) Stop(context.Context) error {
	s.log.Info("stopped")
	if s.kind == failsToStop {
		return errors.New("requests were cut")
	}
	return nil
}

// run runs a service, asks it to stop once it has started, and returns what it wrote
// after that and its exit status.
func run(t *testing.T, kind string) (string, int) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), childVariable+"="+kind)
	out, err := c.StdoutPipe()
	if err == nil {
		err = c.Start()
	}
	if err != nil {
		t.Fatal(err)
	}
	lines := bufio.NewScanner(out)
	lines.Scan()
	_ = c.Process.Signal(syscall.SIGTERM) // one that was asked already may be gone
	var rest strings.Builder
	for lines.Scan() {
		rest.WriteString(lines.Text())
	}
	_ = c.Wait() // the status says it
	return rest.String(), c.ProcessState.ExitCode()
}

// On call had no line of three planned stops in four that cut requests: a stop that failed
// ended the process before its last lines were written.
func TestAStopThatFailsIsLogged(t *testing.T) {
	g := NewWithT(t)
	for range 5 {
		rest, code := run(t, failsToStop)
		g.Expect(rest).To(ContainSubstring(`"stopped"`))
		g.Expect(code).To(Equal(1))
	}
}

// A signal between the start of the servers and the moment at which signals were waited
// for ended the process at once, with the requests that it had taken.
func TestASignalDuringTheStartStopsInOrder(t *testing.T) {
	g := NewWithT(t)
	rest, code := run(t, askedAtStart)
	g.Expect(rest).To(ContainSubstring(`"stopped"`))
	g.Expect(code).To(BeZero())
}
