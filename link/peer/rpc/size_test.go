package rpc

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/link/peer"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// echoEntry answers each heartbeat with the request's header, and each sync with a
// fixed reply.
type echoEntry struct {
	peer.Entry
	sync peer.SyncReply
}

func (e *echoEntry) Heartbeat(_ context.Context, q *peer.HeartbeatRequest) (*peer.HeartbeatReply, error) {
	return &peer.HeartbeatReply{Header: q.Header}, nil
}

func (e *echoEntry) Sync(context.Context, *peer.SyncRequest) (*peer.SyncReply, error) {
	return &e.sync, nil
}

// countingConn adds up the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange measures the bytes in both directions and the time, of both
// sides together, of one exchange between processes in a fleet of ten availability
// zones.
func BenchmarkExchange(b *testing.B) {
	header := peer.Header{Revision: 5_000_000}
	header.From.Name, header.From.Place = "entry-000370", zone.Place{Region: "region-5", Zone: "region-5-b"}
	header.From.Incarnation = 1_790_000_000_000_000_000
	for i := range 10 {
		header.ZonesHeard = append(header.ZonesHeard, peer.ZoneNews{Zone: fmt.Sprintf("region-%d-b", i), Age: 123_456_789})
	}
	change := config.Change{Revision: 5_000_001, By: "operator", At: time.Unix(1, 0), Command: config.WithdrawKey{Hash: contract.HashKey("k")}}
	snapshot := config.EmptySnapshot()
	for i := range 9700 {
		account := contract.ClientAccount{ID: contract.AccountID(fmt.Sprint("account-", i)), Rate: contract.Rate{PerSecond: 100, Burst: 1000}, Weight: 1}
		snapshot.Accounts[account.ID] = account
		hash := contract.HashKey(string(account.ID))
		snapshot.Keys[hash] = contract.Key{Hash: hash, Account: account.ID, Label: "main"}
	}
	for i := range 4800 {
		id := upstream.ID(fmt.Sprint("engine-", i))
		snapshot.Upstreams[id] = upstream.Upstream{ID: id, Place: header.From.Place, Role: upstream.RoleDecode, State: upstream.StateServing,
			Models: []contract.ModelName{"model-one"}, SidecarAddr: "10.20.30.40:7100"}
	}
	cases := []struct {
		name string
		sync *peer.SyncReply
	}{
		{"heartbeat", nil},
		{"sync/nothing", &peer.SyncReply{Header: header}},
		{"sync/one_change", &peer.SyncReply{Header: header, Changes: []config.Change{change}}},
		{"sync/whole", &peer.SyncReply{Header: header, Snapshot: snapshot}},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			e := &echoEntry{}
			if c.sync != nil {
				e.sync = *c.sync
			}
			server, err := NewServer(e, nil, hclog.NewNullLogger())
			if err != nil {
				b.Fatal(err)
			}
			defer server.Close()
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			go server.Serve(l)
			var bytes atomic.Int64
			connPool := NewConnPool(func(ctx context.Context, addr string) (net.Conn, error) {
				raw, err := PlainDialer(ctx, addr)
				return countingConn{raw, &bytes}, err
			})
			defer connPool.Close()
			exchange := func() {
				var err error
				if c.sync == nil {
					_, err = connPool.Entry(l.Addr().String()).Heartbeat(b.Context(), &peer.HeartbeatRequest{Header: header, Kind: "entry", Addr: "10.20.30.40:7100"})
				} else {
					_, err = connPool.Entry(l.Addr().String()).Sync(b.Context(), &peer.SyncRequest{Header: header})
				}
				if err != nil {
					b.Fatal(err)
				}
			}
			exchange()
			bytes.Store(0)
			for b.Loop() {
				exchange()
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
		})
	}
}
