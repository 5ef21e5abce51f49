package soak

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a gateway process. It is restarted whenever it exits, until kill.
type process struct {
	// program, settings and log are file names.
	program, settings, log string
	// callersAddr and peerAddr are the addresses that the gateway listens on.
	callersAddr, peerAddr, readinessAddr string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	closed  bool
	// disturbed lists when the process was started, signaled to end, paused or resumed.
	disturbed []time.Time
	// killedAt is when it last got SIGKILL, zero before.
	killedAt time.Time
}

// recordDisturbance requires that mu is held.
func (p *process) recordDisturbance() {
	p.disturbed = append(p.disturbed, time.Now())
}

// disturbedBetween reports whether the process was started, signaled to end, paused or
// resumed in a span.
func (p *process) disturbedBetween(from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.disturbed, func(at time.Time) bool { return !at.Before(from) && !at.After(to) })
}

// gatewayName is the name of a gateway by its number.
func gatewayName(number int) string { return fmt.Sprintf("gateway-%d", number) }

// newProcess writes the settings of a gateway and does not start it. Its peers are
// others; store is the address of the registry, ports are those of the run.
func newProcess(o Options, number int, store string, others []*process, ports *portRange) (*process, error) {
	addrs := make([]string, 4)
	for i := range addrs {
		addr, err := ports.freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[i] = addr
	}
	var peers []string
	for _, p := range others {
		peers = append(peers, fmt.Sprintf("%q", p.peerAddr))
	}
	name := gatewayName(number)
	text := fmt.Sprintf("name = %q\nregion = \"r\"\nzone = \"z\"\ncallers = %q\nreadiness = %q\npeer = %q\nmetrics = %q\nregistry = %q\n"+
		"peers = [%s]\nmemory = \"%dMB\"\ndescriptors = %d\nshutdown_limit = \"4s\"\n[cold]\nover = %v\nslack = %v\n%s", name, addrs[0], addrs[1], addrs[2], addrs[3], store, strings.Join(peers, ", "), gatewayMemoryMB, gatewayDescriptors, coldOver, coldSlack, o.Changes)
	p := &process{
		program:     o.Gateway,
		settings:    filepath.Join(o.Dir, name+".toml"),
		log:         filepath.Join(o.Dir, name+".log"),
		callersAddr: addrs[0],
		peerAddr:    addrs[2],

		readinessAddr: addrs[1],
	}
	return p, os.WriteFile(p.settings, []byte(text), 0o600)
}

// gatewayMemoryMB is the memory that each gateway is given.
const gatewayMemoryMB = 128

// peakMemory returns the peak resident memory of the current process in bytes, 0 if there is
// none.
func (p *process) peakMemory() (bytes int64) { return p.memory("VmHWM:") }

// memory returns a figure of the current process's status, which is in KB, in bytes; 0 if there
// is no process.
func (p *process) memory(field string) (bytes int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0 // the process has ended
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, field); ok {
			if _, err := fmt.Sscan(rest, &bytes); err != nil {
				return 0
			}
		}
	}
	return bytes << 10
}

// logTail returns the end of what the process wrote.
func (p *process) logTail() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-logTailBytes):])
}

const logTailBytes = 4 << 10

func serveHTTP(h http.Handler) (*http.Server, string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: h, ErrorLog: quiet}
	go func() { _ = server.Serve(l) }()
	return server, l.Addr().String(), nil
}

// start starts the program and restarts it whenever it exits; it does nothing after
// kill.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(p.program, "run", "--config", p.settings)
	command.Stdout, command.Stderr = out, out
	if err := command.Start(); err != nil {
		_ = out.Close()
		return err
	}
	p.recordDisturbance()
	ended := make(chan struct{})
	p.command, p.ended = command, ended
	go func() {
		_ = command.Wait()
		_ = out.Close()
		close(ended)
		_ = p.start()
	}()
	return nil
}

// signal sends a signal to the current process, if there is one.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s != syscall.SIGHUP {
		p.recordDisturbance()
	}
	if s == syscall.SIGKILL {
		p.killedAt = time.Now()
	}
	if p.command != nil {
		_ = p.command.Process.Signal(s)
	}
}

// signalEnd sends the signal that ends the process, which is then restarted: SIGKILL if
// kill is set, otherwise SIGTERM. SIGCONT follows SIGTERM, because a paused process
// handles it only once it runs again.
func (p *process) signalEnd(kill bool) {
	if kill {
		p.signal(syscall.SIGKILL)
		return
	}
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGCONT)
}

// killedSince reports whether the process was ended by SIGKILL after a time.
func (p *process) killedSince(from time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killedAt.After(from)
}

func (p *process) reload() { p.signal(syscall.SIGHUP) }
func (p *process) resume() { p.signal(syscall.SIGCONT) }

// pause stops the process with SIGSTOP and resumes it after d.
func (p *process) pause(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, p.resume)
}

// kill ends the process without a restart and waits for its exit.
func (p *process) kill() {
	p.mu.Lock()
	p.closed = true
	command, ended := p.command, p.ended
	p.mu.Unlock()
	if command != nil {
		_ = command.Process.Kill()
		<-ended
	}
}

// quiet discards the errors that servers log for connections that the run breaks on
// purpose.
var quiet = log.New(io.Discard, "", 0)
