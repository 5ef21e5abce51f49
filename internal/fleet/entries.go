package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"sync"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/process"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// OperatorKey is the key of the fleet's only operator, whose role is write.
const OperatorKey = "tw-operator-key-of-development"

// pseudonymSecret is the secret from which entries derive the pseudonyms of client
// accounts.
const pseudonymSecret = "pseudonyms-of-development"

// EntryNode is one entry of a fleet.
type EntryNode struct {
	// URL is the base URL for callers, OperatorAddr the address for operators.
	URL          string
	OperatorAddr string
	Place        zone.Place

	process *process.Entry
	host    *host
	end     sync.Once
}

// startEntry starts the entry of a zone and adds it to the platform's list of
// instances.
func (f *Fleet) startEntry(z zone.AvailabilityZone) error {
	s := settings.DefaultEntry()
	s.Where = settings.Where{Name: fmt.Sprintf("entry-%s", z), Region: string(f.Workload.Region), Zone: string(z)}
	for _, name := range f.Workload.Zones {
		s.Zones = append(s.Zones, string(name))
	}
	s.Caller, s.Peer, s.Operator = plainListener, plainListener, plainListener
	s.Platform.URL = f.storeURL
	s.PseudonymSecret = pseudonymSecret
	s.Operators = operators()
	f.options.Policy.apply(&s)
	h := f.network.newHost(z)
	p, err := process.StartEntry(s, process.Options{Log: f.options.Log, Network: h})
	if err != nil {
		return err
	}
	f.Entries = append(f.Entries, &EntryNode{
		URL:          "http://" + p.CallerAddr,
		OperatorAddr: p.OperatorAddr,
		Place:        s.Place(),
		process:      p,
		host:         h,
	})
	f.Platform.Instances.Put(platform.ListedInstance{Name: s.Name, Kind: "entry", Addr: p.PeerAddr, Place: s.Place()})
	return nil
}

// apply sets the policy in an entry's settings; empty fields keep the defaults.
func (p Policy) apply(s *settings.Entry) {
	if p.Placement != "" {
		s.Placement.Policy = p.Placement
	}
	if p.Queue != "" {
		s.Placement.Queue = p.Queue
	}
	if p.Rates != "" {
		s.Rates.Policy = p.Rates
	}
}

// plainListener is a listener without TLS on a free port.
var plainListener = settings.Listener{Listen: loopback, PlainText: true}

func operators() []settings.Operator {
	hash := sha256.Sum256([]byte(OperatorKey))
	return []settings.Operator{{Name: "developer", Role: settings.RoleWrite, KeySHA256: hex.EncodeToString(hash[:])}}
}

// Serving reports whether the entry is ready for requests.
func (n *EntryNode) Serving() bool {
	ok, _ := n.process.Ready()
	return ok
}

// Revision returns the revision of the configuration that the entry has in force.
func (n *EntryNode) Revision() contract.Revision {
	return n.process.Revision()
}

// Kill ends the entry at once, as a crash would: peers get no notice. After a
// Shutdown it does nothing.
func (n *EntryNode) Kill() {
	n.end.Do(func() {
		n.host.kill()
		n.process.Kill()
	})
}

// Pause blocks all traffic of the entry, or resumes it. Timers of the entry run on.
func (n *EntryNode) Pause(paused bool) {
	n.host.pause(paused)
}

// Shutdown drains and ends the entry. After a Kill it does nothing.
func (n *EntryNode) Shutdown(ctx context.Context) (err error) {
	n.end.Do(func() { err = n.process.Shutdown(ctx) })
	return err
}
