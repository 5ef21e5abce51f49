package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/entry"
	"github.com/trefoilwalk/trefoilwalk/link/caller"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/link/peer/rpc"
	"github.com/trefoilwalk/trefoilwalk/link/platform/configstore"
	"github.com/trefoilwalk/trefoilwalk/link/platform/layoutstore"
	"github.com/trefoilwalk/trefoilwalk/link/platform/rest"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// secret makes the pseudonyms of the fleet's client accounts.
var secret = []byte("trefoil-dev")

// EntryNode is one entry.
type EntryNode struct {
	// URL is where callers reach it.
	URL   string
	Place zone.Place

	entry    *entry.Entry
	handler  *caller.Handler
	server   *http.Server
	peers    *peerListener
	dials    *rpc.Dials
	platform *rest.Client
	kill     sync.Once
}

// startEntry starts the i-th entry in a zone.
func (f *Fleet) startEntry(i int, z zone.AvailabilityZone) error {
	place := zone.Place{Region: f.Workload.Region, Zone: z}
	self := identity(fmt.Sprintf("entry-%s", z), place)
	client := rest.New(f.storeURL, f.network.transport(z))
	dials := rpc.NewDials(f.network.dialer(z))
	options, err := f.entryOptions(i, self)
	if err != nil {
		return err
	}
	peers, err := f.network.listen(z, "")
	if err != nil {
		return err
	}
	options.Addr = peers.Addr().String()
	options.Peers = dials
	options.Config = configstore.New(client.Table(), client.Objects())
	options.Instances = client.Instances()
	options.Layouts = layoutstore.New(client.Table())
	n := &EntryNode{Place: place, entry: entry.New(options), dials: dials, platform: client}
	f.Entries = append(f.Entries, n)
	return f.listenEntry(n, peers)
}

// entryOptions are the decisions' part of an entry's options.
func (f *Fleet) entryOptions(i int, self instance.Identity) (entry.Options, error) {
	policy := f.options.Policy
	if policy.Queue == "" {
		policy.Queue = fair.QueueWeighted
	}
	if policy.Rates == "" {
		policy.Rates = rate.DefaultPolicy
	}
	board, err := placement.NewBoard(placement.Options{
		Self:   self.Place,
		Policy: policy.Placement,
		Seed:   f.options.Seed + uint64(i),
	})
	if err != nil {
		return entry.Options{}, err
	}
	rates, err := rate.New(policy.Rates, self, rate.Options{Entries: len(f.Workload.Zones)})
	if err != nil {
		return entry.Options{}, err
	}
	if _, err := fair.New(policy.Queue, fair.DefaultLimit); err != nil {
		return entry.Options{}, err
	}
	newQueue := func() fair.Queue {
		queue, _ := fair.New(policy.Queue, fair.DefaultLimit)
		return queue
	}
	return entry.Options{
		Self:     self,
		Secret:   secret,
		Board:    board,
		Rates:    rates,
		NewQueue: newQueue,
		Log:      f.options.Log,
	}, nil
}

// listenEntry opens the entry's listener for callers and serves peers.
func (f *Fleet) listenEntry(n *EntryNode, peers net.Listener) error {
	l, err := f.network.listen(n.Place.Zone, "")
	if err != nil {
		return err
	}
	n.URL = "http://" + l.Addr().String()
	n.handler = caller.NewHandler(n.entry, caller.Limits{}, f.options.Log)
	n.server = caller.NewServer(n.handler, caller.Limits{}, f.options.Log)
	go func() { _ = n.server.Serve(l) }()
	n.handler.SetReady()
	f.list(fmt.Sprintf("entry-%s", n.Place.Zone), "entry", peers, n.Place)
	n.peers, err = listenPeers(peers, n.entry, nil)
	return err
}

// Serving reports whether the entry takes requests.
func (n *EntryNode) Serving() bool {
	ok, _ := n.entry.Ready()
	return ok
}

// Revision asks the entry, as another entry would, for the configuration that it
// has in force.
func (n *EntryNode) Revision(ctx context.Context) (contract.Revision, error) {
	reply, err := n.entry.Heartbeat(ctx, &peer.HeartbeatRequest{})
	if err != nil {
		return 0, err
	}
	return reply.Revision, nil
}

// Kill ends the entry at once, as a crash would.
func (n *EntryNode) Kill() {
	n.kill.Do(func() {
		if n.server != nil {
			_ = n.server.Close()
		}
		if n.peers != nil {
			n.peers.close()
		}
		n.dials.Close()
		n.entry.Close()
		n.platform.Close()
	})
}

// Unready tells the balancer to send no more requests here.
func (n *EntryNode) Unready() {
	n.handler.SetUnready("draining")
}

// Drain shuts the entry down gracefully: no new requests, and the running ones
// end within the timeout.
func (n *EntryNode) Drain(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	n.handler.Drain()
	if err := n.entry.Drain(ctx); err != nil {
		return err
	}
	return n.server.Shutdown(ctx)
}
