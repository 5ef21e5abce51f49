package program

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
)

// childVariable makes the test binary run slowStop in place of the tests.
const childVariable = "PROGRAM_TEST_CHILD"

// slowStop is a process whose shutdown takes a while.
type slowStop struct{}

func (slowStop) Shutdown(context.Context) error {
	time.Sleep(500 * time.Millisecond)
	return nil
}

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	p := Program{Name: "child", Check: Checked(
		func(string) (struct{}, error) { return struct{}{}, nil },
		func(struct{}, hclog.Logger) (slowStop, error) { return slowStop{}, nil },
	)}
	os.Exit(p.Main([]string{"run", "--config", "none"}))
}

// TestSignalsDuringShutdown guards against a shutdown that a second signal ends: a process
// manager that stops a process twice, or changes its settings meanwhile, cut all answers.
func TestSignalsDuringShutdown(t *testing.T) {
	for _, second := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP} {
		t.Run(second.String(), func(t *testing.T) {
			t.Parallel()
			child := exec.Command(os.Args[0])
			child.Env = append(os.Environ(), childVariable+"=1")
			out, err := child.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := child.Start(); err != nil {
				t.Fatal(err)
			}
			ended := false
			for lines := bufio.NewScanner(out); lines.Scan(); {
				switch line := lines.Text(); {
				case strings.Contains(line, `"started"`):
					_ = child.Process.Signal(syscall.SIGTERM)
				case strings.Contains(line, `"shutting down"`):
					_ = child.Process.Signal(second)
				case strings.Contains(line, `"ended"`):
					ended = true
				}
			}
			if err := child.Wait(); err != nil || !ended {
				t.Errorf("the shutdown was cut off: %v", err)
			}
		})
	}
}
