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

// OperatorKey is the key of the fleet's one operator, who may change everything.
const OperatorKey = "tw-operator-key-of-development"

// pseudonymSecret makes the pseudonyms of the fleet's client accounts.
const pseudonymSecret = "pseudonyms-of-development"

// EntryNode is one entry.
type EntryNode struct {
	// URL is where callers reach it, OperatorAddr where operators do.
	URL          string
	OperatorAddr string
	Place        zone.Place

	process *process.Entry
	host    *host
	end     sync.Once
}

// startEntry starts the entry of a zone.
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
	h := f.network.host(z)
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
	f.Platform.Instances.Put(platform.Listed{Name: s.Name, Kind: "entry", Addr: p.PeerAddr, Place: s.Place()})
	return nil
}

// apply puts the policy into an entry's settings; what is empty keeps its
// default.
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

// plainListener is any free port, without TLS.
var plainListener = settings.Listener{Listen: loopback, PlainText: true}

func operators() []settings.Operator {
	hash := sha256.Sum256([]byte(OperatorKey))
	return []settings.Operator{{Name: "developer", Role: settings.RoleWrite, KeySHA256: hex.EncodeToString(hash[:])}}
}

// Serving reports whether the entry takes requests.
func (n *EntryNode) Serving() bool {
	ok, _ := n.process.Ready()
	return ok
}

// Revision is the configuration that the entry has in force.
func (n *EntryNode) Revision() contract.Revision {
	return n.process.Revision()
}

// Kill ends the entry at once, as a crash would: nobody hears of it.
func (n *EntryNode) Kill() {
	n.end.Do(func() {
		n.host.kill()
		n.process.Kill()
	})
}

// Pause holds all that the entry sends and receives, or lets it go on.
func (n *EntryNode) Pause(paused bool) {
	n.host.pause(paused)
}

// Shutdown ends the entry gracefully.
func (n *EntryNode) Shutdown(ctx context.Context) (err error) {
	n.end.Do(func() { err = n.process.Shutdown(ctx) })
	return err
}
