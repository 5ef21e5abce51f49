package fleet

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/sidecar"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/engine"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
	"github.com/trefoilwalk/trefoilwalk/link/platform"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/engineapi"
	"github.com/trefoilwalk/trefoilwalk/link/upstream/serviceapi"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	ledger "github.com/trefoilwalk/trefoilwalk/upstream/engine"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// Sizes of the stand-ins.
const (
	engineBlocks  = 160
	prefillSlots  = 16
	serviceSlots  = 32
	serviceTakes  = 5 * time.Millisecond
	restartAfter  = time.Second
	maxWindowWait = 2 * time.Second
	// maxQueuedFor bounds the prompts that a prefill engine accepts, by the
	// time that they take it.
	maxQueuedFor = 2
)

// EngineNode is an engine and the sidecar beside it.
type EngineNode struct {
	Upstream upstream.Upstream
	Engine   *engine.Engine
	sidecar  *sidecar.Sidecar
	peers    *peerListener
	client   *engineapi.Client
}

// ServiceNode is a plain service and the sidecar beside it.
type ServiceNode struct {
	Upstream upstream.Upstream
	Service  *service.Service
	sidecar  *sidecar.Sidecar
	peers    *peerListener
}

func (f *Fleet) startEngine(role upstream.Role, i int) error {
	place := f.place(i)
	l, err := f.network.listen(place.Zone, "")
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
		client: engineapi.New(url, nil),
	}
	n.Engine.SetTransport(f.kvTransport(place.Zone))
	f.serve(l, n.Engine.Handler())
	f.Engines = append(f.Engines, n)
	n.sidecar = sidecar.New(sidecar.Options{
		Self:     identity(string(n.Upstream.ID), place),
		Upstream: n.Upstream.ID,
		Limits:   engineLimits(role),
		Engine:   n.client,
		Log:      f.options.Log,
	})
	n.peers, err = f.startSidecarPeers(&n.Upstream, n.sidecar)
	return err
}

// kvTransport fetches KV caches; each connection ends with its transfer.
func (f *Fleet) kvTransport(z zone.AvailabilityZone) http.RoundTripper {
	transport := f.network.transport(z)
	transport.DisableKeepAlives = true
	return transport
}

// engineLimits are what a sidecar knows of its engine.
func engineLimits(role upstream.Role) ledger.Limits {
	limits := ledger.Limits{
		Role:                role,
		Slots:               engine.DefaultSlots,
		Blocks:              engineBlocks,
		LinkBlocksPerSecond: engine.DefaultLinkRate,
		PrefillPerSecond:    engine.DefaultPrefillPerSecond,
		MaxWindowWait:       maxWindowWait,
	}
	if role == upstream.RolePrefill {
		limits.Slots = prefillSlots
		limits.MaxQueuedTokens = engine.DefaultPrefillPerSecond * maxQueuedFor
	}
	return limits
}

func (f *Fleet) startService(i int) error {
	place := f.place(i)
	l, err := f.network.listen(place.Zone, "")
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
	client, err := serviceapi.New("http://"+l.Addr().String(), nil)
	if err != nil {
		return err
	}
	n.sidecar = sidecar.New(sidecar.Options{
		Self:     identity(string(n.Upstream.ID), place),
		Upstream: n.Upstream.ID,
		Limits:   ledger.Limits{Role: upstream.RoleService, Slots: serviceSlots},
		Service:  client,
		Log:      f.options.Log,
	})
	n.peers, err = f.startSidecarPeers(&n.Upstream, n.sidecar)
	return err
}

// startSidecarPeers opens a sidecar's listener and lists the instance.
func (f *Fleet) startSidecarPeers(u *upstream.Upstream, s *sidecar.Sidecar) (*peerListener, error) {
	l, err := f.network.listen(u.Place.Zone, "")
	if err != nil {
		return nil, err
	}
	u.SidecarAddr = l.Addr().String()
	f.list(string(u.ID), "sidecar", l, u.Place)
	return listenPeers(l, nil, s)
}

// list puts an instance on the platform's list.
func (f *Fleet) list(name, kind string, l net.Listener, place zone.Place) {
	f.Platform.Instances.Put(platform.Listed{Name: name, Kind: kind, Addr: l.Addr().String(), Place: place})
}

// Leave marks an upstream on the platform's list as leaving.
func (f *Fleet) Leave(u upstream.Upstream) {
	f.Platform.Instances.Put(platform.Listed{
		Name: string(u.ID), Kind: "sidecar", Addr: u.SidecarAddr, Place: u.Place, Leaving: true,
	})
}

func (n *EngineNode) close() {
	n.Engine.Close()
	if n.peers != nil {
		n.peers.close()
	}
	if n.sidecar != nil {
		n.sidecar.Close()
	}
	n.client.Close()
}

func (n *ServiceNode) close() {
	n.Service.Crash()
	if n.peers != nil {
		n.peers.close()
	}
	if n.sidecar != nil {
		n.sidecar.Close()
	}
}
