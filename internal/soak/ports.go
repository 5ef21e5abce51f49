package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"syscall"
)

// Ports of gateways lie below the ephemeral range of the kernel, so that no outgoing
// connection takes the port of a gateway that is being restarted. Each run has rangePorts
// of them to itself.
const (
	lowestPort, highestPort = 12_000, 32_000
	rangePorts              = 1000
)

// portRange holds the ports of a run. No other run on the machine uses them until close: a
// port that is free while its gateway restarts would be lost to it.
type portRange struct {
	lowest int
	used   map[int]bool
	lock   *os.File
}

// newPortRange takes a range that no other run has.
func newPortRange() (*portRange, error) {
	var failed error
	for lowest := lowestPort; lowest < highestPort; lowest += rangePorts {
		name := filepath.Join(os.TempDir(), fmt.Sprintf("trefoil-soak-ports-%d", lowest))
		lock, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
		if err == nil {
			err = syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
			if err == nil {
				return &portRange{lowest: lowest, used: make(map[int]bool), lock: lock}, nil
			}
			err = errors.Join(err, lock.Close())
		}
		failed = err
	}
	return nil, fmt.Errorf("soak: no range of ports is free: %w", failed)
}

// close gives the range back.
func (r *portRange) close() error {
	return r.lock.Close()
}

// freeAddr returns a loopback address whose port is free and was not returned before. A process
// that is being started at the moment may hold the port until it runs.
func (r *portRange) freeAddr() (string, error) {
	l, err := r.listen()
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// listen listens on a loopback address whose port was not returned before.
func (r *portRange) listen() (net.Listener, error) {
	last := errors.New("all were returned before")
	for _, n := range rand.Perm(rangePorts) {
		port := r.lowest + n
		if r.used[port] {
			continue
		}
		r.used[port] = true
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			last = err
			continue
		}
		return l, nil
	}
	return nil, fmt.Errorf("soak: no free port: %w", last)
}
