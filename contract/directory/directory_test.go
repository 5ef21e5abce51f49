package directory

import (
	"fmt"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

func snapshot() *Snapshot {
	long := &Route{Name: "long", Host: "h", Prefix: "/a/b/"}
	short := &Route{Name: "short", Host: "h", Prefix: "/a/"}
	account := &Account{ID: "weaver"}
	return &Snapshot{
		Hosts:    map[string][]*Route{"h": {long, short}},
		Accounts: map[contract.AccountID]*Account{"weaver": account},
		Keys:     map[contract.KeyHash]contract.AccountID{contract.HashKey("k"): "weaver"},
	}
}

func TestRoute(t *testing.T) {
	s := snapshot()
	cases := []struct{ host, path, want string }{
		{"h", "/a/b/c", "long"},
		{"H", "/a/b/", "long"},
		{"h", "/a/x", "short"},
		{"h", "/a", ""},
		{"h", "/A/x", ""},
		{"other", "/a/b/c", ""},
	}
	for _, c := range cases {
		got := ""
		if r := s.Route(c.host, c.path); r != nil {
			got = string(r.Name)
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestAccount(t *testing.T) {
	s := snapshot()
	if a := s.Account("k"); a == nil || a.ID != "weaver" {
		t.Errorf("account of the key: %v", a)
	}
	for _, key := range []string{"", "K", "other"} {
		if a := s.Account(key); a != nil {
			t.Errorf("unknown key %q has account %s", key, a.ID)
		}
	}
}

// TestSplit checks that the traffic split follows the weights, with 8 to 12 % of the
// requests for a weight of 10 %, and that a request identifier always selects the
// same service.
func TestSplit(t *testing.T) {
	r := Route{Shares: []Share{{"a", 90}, {"b", 10}, {"none", 0}}}
	counts := make(map[ServiceName]int)
	const requests = 10_000
	for i := range requests {
		id := contract.RequestID(fmt.Sprint(i))
		service := r.Service(id)
		if service != r.Service(id) {
			t.Fatalf("request %s has two services", id)
		}
		counts[service]++
	}
	if counts["none"] > 0 || counts["b"] < requests*8/100 || counts["b"] > requests*12/100 {
		t.Errorf("weights 90 to 10 gave %v", counts)
	}
}

func TestCost(t *testing.T) {
	sized := &contract.Message{Prompt: 1000, MaxOutput: 80, Sized: true}
	plain := &contract.Message{}
	tokens := Quota{PerSecond: 1, ByTokens: true, PlainCost: 200}
	requests := Quota{PerSecond: 1}
	for _, c := range []struct {
		quota Quota
		m     *contract.Message
		want  float64
	}{{tokens, sized, 1080}, {tokens, plain, 200}, {requests, sized, 1}} {
		if got := c.quota.Cost(c.m); got != c.want {
			t.Errorf("cost %v, want %v", got, c.want)
		}
	}
}
