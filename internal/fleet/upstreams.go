package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/process"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/engine"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/link/settings"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Capacities and times of the stand-ins.
const (
	engineBlocks = 160
	serviceSlots = 32
	serviceTakes = 5 * time.Millisecond
	restartAfter = time.Second
	// prefillSlots bounds the prompts that a sidecar sends to a prefill engine at a
	// time.
	prefillSlots = 16
	// maxQueuedSeconds bounds the prompts that a prefill engine accepts, in seconds
	// of prefill.
	maxQueuedSeconds = 2
)

// EngineNode is an engine and the sidecar beside it.
type EngineNode struct {
	Upstream upstream.Upstream
	Engine   *engine.Engine
	sidecar  *process.Sidecar
}

// ServiceNode is a plain service and the sidecar beside it.
type ServiceNode struct {
	Upstream upstream.Upstream
	Service  *service.Service
	sidecar  *process.Sidecar
}

func (f *Fleet) startEngine(role upstream.Role, i int) error {
	place := f.place(i)
	l, err := f.network.newHost(place.Zone).Listen(loopback)
	if err != nil {
		return err
	}
	url := "http://" + l.Addr().String()
	n := &EngineNode{
		Upstream: upstream.Upstream{
			ID:     upstream.ID(fmt.Sprintf("%s-%s-%d", f.Workload.Model, role, i)),
			Place:  place,
			Role:   role,
			State:  upstream.StateServing,
			Models: []contract.ModelName{f.Workload.Model},
		},
		Engine: engine.New(engine.Options{
			URL:          url,
			Role:         role,
			Models:       []contract.ModelName{f.Workload.Model},
			Blocks:       engineBlocks,
			CheckFence:   i%2 == 0,
			RestartAfter: restartAfter,
			OnStart:      f.options.OnEngineStart,
			OnFree:       f.options.OnEngineFree,
		}),
	}
	n.Engine.SetTransport(f.kvTransport(place.Zone))
	f.serve(l, n.Engine.Handler())
	f.Engines = append(f.Engines, n)
	s := settings.DefaultSidecar()
	s.Upstream.Kind = settings.KindEngine
	s.Upstream.Role = role.String()
	s.Upstream.Models = []string{string(f.Workload.Model)}
	s.Upstream.Slots = engine.DefaultSlots
	s.Upstream.Blocks = engineBlocks
	s.Upstream.LinkBlocksPerSecond = engine.DefaultLinkRate
	s.Upstream.PrefillPerSecond = int64(engine.DefaultPrefillPerSecond)
	if role == upstream.RolePrefill {
		s.Upstream.Slots = prefillSlots
		s.Upstream.MaxQueuedTokens = maxQueuedSeconds * int64(engine.DefaultPrefillPerSecond)
	}
	n.sidecar, err = f.startSidecar(s, &n.Upstream, url)
	return err
}

// kvTransport returns a transport for the import of KV caches, with one connection
// per request, which ends with the transfer.
func (f *Fleet) kvTransport(z zone.AvailabilityZone) http.RoundTripper {
	transport := f.network.newHost(z).transport()
	transport.DisableKeepAlives = true
	return transport
}

func (f *Fleet) startService(i int) error {
	place := f.place(i)
	l, err := f.network.newHost(place.Zone).Listen(loopback)
	if err != nil {
		return err
	}
	n := &ServiceNode{
		Upstream: upstream.Upstream{
			ID:    upstream.ID(fmt.Sprintf("%s-%d", f.Workload.Service, i)),
			Place: place,
			Role:  upstream.RoleService,
			State: upstream.StateServing,
			Pool:  f.Workload.Service,
		},
		Service: service.New(service.Options{
			Takes:        serviceTakes,
			RestartAfter: restartAfter,
			OnRun:        f.options.OnServiceRun,
		}),
	}
	f.serve(l, n.Service.Handler())
	f.Services = append(f.Services, n)
	s := settings.DefaultSidecar()
	s.Upstream.Kind = settings.KindService
	s.Upstream.Slots = serviceSlots
	n.sidecar, err = f.startSidecar(s, &n.Upstream, "http://"+l.Addr().String())
	return err
}

// startSidecar starts the sidecar beside an upstream, adds it to the platform's list
// of instances, and sets the upstream's sidecar address.
func (f *Fleet) startSidecar(s settings.Sidecar, u *upstream.Upstream, url string) (*process.Sidecar, error) {
	s.Where = settings.Where{Name: string(u.ID), Region: string(u.Place.Region), Zone: string(u.Place.Zone)}
	s.Peer, s.Operator = plainListener, plainListener
	s.Platform.URL = f.storeURL
	s.Operators = operators()
	s.Upstream.ID = string(u.ID)
	s.Upstream.URL = url
	p, err := process.StartSidecar(s, process.Options{Log: f.options.Log, Network: f.network.newHost(u.Place.Zone)})
	if err != nil {
		return nil, err
	}
	u.SidecarAddr = p.PeerAddr
	f.list(*u, false)
	return p, nil
}

// MarkLeaving marks an upstream's sidecar as leaving in the platform's list of instances.
func (f *Fleet) MarkLeaving(u upstream.Upstream) {
	f.list(u, true)
}

// list puts an upstream's sidecar into the platform's list of instances, or updates it.
func (f *Fleet) list(u upstream.Upstream, leaving bool) {
	f.Platform.Instances.Put(platform.ListedInstance{
		Name:    string(u.ID),
		Kind:    "sidecar",
		Addr:    u.SidecarAddr,
		Place:   u.Place,
		Leaving: leaving,
	})
}

func (n *EngineNode) close() {
	n.Engine.Close()
	if n.sidecar != nil {
		n.sidecar.Kill()
	}
}

// Shutdown drains and ends the sidecar beside the service.
func (n *ServiceNode) Shutdown(ctx context.Context) error {
	return n.sidecar.Shutdown(ctx)
}

func (n *ServiceNode) close() {
	n.Service.Crash()
	if n.sidecar != nil {
		n.sidecar.Kill()
	}
}
