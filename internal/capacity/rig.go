package capacity

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/contract/fair"
	"github.com/trefoilwalk/trefoilwalk/contract/rate"
	"github.com/trefoilwalk/trefoilwalk/instance"
	"github.com/trefoilwalk/trefoilwalk/instance/entry"
	"github.com/trefoilwalk/trefoilwalk/instance/sidecar"
	"github.com/trefoilwalk/trefoilwalk/link/peer/rpc"
	link "github.com/trefoilwalk/trefoilwalk/link/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/upstream/engine"
	"github.com/trefoilwalk/trefoilwalk/upstream/placement"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

const (
	rigKey   = "capacity-key"
	rigModel = contract.ModelName("model")
	// rigSlots is the number of slots of an engine.
	rigSlots = 20
	// decodeStep is the interval between two tokens of a stream.
	decodeStep = 30 * time.Millisecond
)

var rigPlace = zone.Place{Region: "r", Zone: "r-a"}

// errNotReady is returned if the entry does not reach the state Serving in time.
var errNotReady = errors.New("capacity: entry did not become ready")

// stepEngine is an engine with negligible cost. A prefill returns at once; all decodes
// get one token at each step, as with continuous batching.
type stepEngine struct{}

// nextStep waits for the next step, which is at the same time for all decodes.
func nextStep(ctx context.Context) error {
	now := time.Now()
	timer := time.NewTimer(now.Truncate(decodeStep).Add(decodeStep).Sub(now))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (stepEngine) Prefill(_ context.Context, p link.Prefill) (link.Handle, error) {
	return link.Handle{ID: "kv", Tokens: contract.EstimateTokens(p.Prompt), Blocks: 1}, nil
}

func (stepEngine) Decode(ctx context.Context, d link.Decode, emit func(contract.Chunk) error) error {
	for i := contract.Tokens(0); i < d.MaxTokens; i++ {
		if err := nextStep(ctx); err != nil {
			return err
		}
		chunk := contract.Chunk{Offset: i, Texts: []string{"token "}, Done: i == d.MaxTokens-1}
		chunk.Usage = contract.Usage{PromptTokens: 1, OutputTokens: i + 1}
		if err := emit(chunk); err != nil {
			return err
		}
	}
	return nil
}

func (stepEngine) Resume(context.Context, contract.CallID, contract.Tokens, func(contract.Chunk) error) error {
	return link.ErrUnknownCall
}
func (stepEngine) Cancel(context.Context, contract.CallID) error { return nil }
func (stepEngine) Load(context.Context) (link.EngineLoad, error) { return link.EngineLoad{}, nil }
func (stepEngine) Order(context.Context, link.Order) error       { return nil }
func (stepEngine) State(context.Context) (link.EngineState, error) {
	return link.EngineState{}, nil
}
func (stepEngine) Events(context.Context, uint64) ([]link.CacheEvent, error) { return nil, nil }

// rig is an entry with its sidecars in this process, connected over the loopback.
type rig struct {
	entry    *entry.Entry
	connPool *rpc.ConnPool
	// bytes counts the traffic of the entry's connections.
	bytes *atomic.Int64
	// decode is the address of the last sidecar, whose role is decode.
	decode  string
	closers []func()
}

// fixedConfig is a configuration source that never changes.
type fixedConfig struct {
	snapshot *config.Snapshot
}

// Load implements entry.ConfigSource.
func (f fixedConfig) Load(context.Context, *config.Snapshot) (config.Loaded, error) {
	return config.Loaded{Snapshot: f.snapshot}, nil
}

// newRig starts a number of sidecars, half of each role, and an entry, and waits until
// the entry serves.
func newRig(sidecars int) (*rig, error) {
	r := &rig{bytes: new(atomic.Int64)}
	snapshot := rigSnapshot()
	roles := []upstream.Role{upstream.RolePrefill, upstream.RoleDecode}
	for i := range sidecars {
		u, err := r.addSidecar(roles[i%len(roles)], i)
		if err != nil {
			r.close()
			return nil, err
		}
		snapshot.Upstreams[u.ID] = u
		r.decode = u.SidecarAddr
	}
	r.connPool = rpc.NewConnPool(countingDialer(r.bytes))
	self := instance.Identity{Name: "entry", Incarnation: 1, Place: rigPlace}
	board, err := placement.NewBoard(placement.Options{Self: rigPlace})
	if err != nil {
		return nil, err
	}
	rates, err := rate.New(rate.PolicyFixedSplit, self, rate.Options{Entries: 1})
	if err != nil {
		return nil, err
	}
	r.entry = entry.New(entry.Options{
		Self:     self,
		Secret:   []byte("capacity"),
		Board:    board,
		Rates:    rates,
		NewQueue: func() fair.Queue { return fair.NewWeighted(fair.DefaultLimit * 4) },
		Peers:    r.connPool,
		Config:   fixedConfig{snapshot},
	})
	r.closers = append(r.closers, r.entry.Close, r.connPool.Close)
	return r, r.waitReady()
}

func rigSnapshot() *config.Snapshot {
	s := config.EmptySnapshot()
	s.Revision = 1
	const plenty = contract.Tokens(1e12)
	s.Accounts["a"] = contract.ClientAccount{ID: "a", Weight: 1, Rate: contract.Rate{PerSecond: plenty, Burst: plenty}}
	hash := contract.HashKey(rigKey)
	s.Keys[hash] = contract.Key{Hash: hash, Account: "a"}
	s.Routes["r"] = contract.Route{Name: "r", Kind: contract.RouteModel, Model: rigModel, Repeatable: true, Patient: true, Timeout: time.Hour}
	s.Routes["none"] = contract.Route{Name: "none", Kind: contract.RouteModel, Model: "none", Repeatable: true, Patient: true, Timeout: time.Hour}
	return s
}

// addSidecar starts a sidecar with a stepEngine.
func (r *rig) addSidecar(role upstream.Role, i int) (upstream.Upstream, error) {
	u := upstream.Upstream{ID: upstream.ID(fmt.Sprintf("%s-%d", role, i)), Place: rigPlace, Role: role, State: upstream.StateServing, Models: []contract.ModelName{rigModel}}
	s := sidecar.New(sidecar.Options{
		Self:     instance.Identity{Name: instance.Name(u.ID), Incarnation: 1, Place: rigPlace},
		Upstream: u.ID,
		Engine:   stepEngine{},
		Limits: engine.Limits{Role: role, Slots: rigSlots, Blocks: 10_000, LinkBlocksPerSecond: 1e6,
			PrefillPerSecond: 1e6, MaxQueuedTokens: 1e9, Lease: 2 * time.Second, MaxWindowWait: time.Second},
	})
	server, err := rpc.NewServer(nil, s, hclog.NewNullLogger())
	if err != nil {
		return u, err
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return u, err
	}
	go server.Serve(l)
	u.SidecarAddr = l.Addr().String()
	r.closers = append(r.closers, func() { _ = l.Close(); server.Close(); s.Close() })
	return u, nil
}

// waitReady waits until the entry serves, for at most 500 steps.
func (r *rig) waitReady() error {
	ticker := time.NewTicker(decodeStep)
	defer ticker.Stop()
	for range 500 {
		if r.entry.State() == instance.Serving {
			return nil
		}
		<-ticker.C
	}
	return errNotReady
}

func (r *rig) close() {
	for i := len(r.closers) - 1; i >= 0; i-- {
		r.closers[i]()
	}
}

// countingDialer returns a dialer that adds the bytes of all its connections, in both
// directions, to bytes.
func countingDialer(bytes *atomic.Int64) rpc.Dialer {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := rpc.PlainDialer(ctx, addr)
		if err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		return &countingConn{Conn: c, bytes: bytes}, nil
	}
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}
