package catchup

import (
	"fmt"
	"testing"
	"time"

	"github.com/trefoilwalk/trefoilwalk/instance"
)

var start = time.Unix(1000, 0)

// peersWith returns so many peers that state the same.
func peersWith(n int, state State) (out []Source) {
	for i := range n {
		out = append(out, Source{Name: instance.Name(fmt.Sprint("g", i)), State: state})
	}
	return out
}

func TestNext(t *testing.T) {
	newer := peersWith(3, State{Config: 7, List: 9})
	for _, c := range []struct {
		name  string
		own   Own
		peers []Source
		after time.Duration
		want  Want
	}{
		{"nothing lacks", Own{State: State{7, 9}}, newer, time.Minute, Want{}},
		{"no peers", Own{}, nil, time.Minute, Want{}},
		{"the registry may answer", Own{State: State{6, 9}}, newer, Patience - 1, Want{}},
		{"the registry does not answer", Own{State: State{6, 9}}, newer, Patience, Want{Config: true}},
		{"the registry's answer arrives", Own{State: State{6, 9}, Arriving: true}, newer, time.Minute, Want{}},
		{"the registry is away", Own{State: State{6, 8}, Away: true}, newer, 0, Want{Config: true, List: true}},
		{"only the list lacks", Own{State: State{7, 8}, Away: true}, newer, 0, Want{List: true}},
		{"the list comes from the registry", Own{State: State{7, 8}}, newer, time.Minute, Want{}},
		{"the list while the configuration arrives", Own{State: State{6, 8}, Away: true, Arriving: true}, newer, 0, Want{List: true}},
	} {
		var l Ledger
		if _, _, ok := l.Next(start, c.own, c.peers); ok && c.after > 0 {
			t.Errorf("%s: read from a peer at once", c.name)
			continue
		}
		l = Ledger{behindAt: l.behindAt, behindSince: l.behindSince}
		_, got, ok := l.Next(start.Add(c.after), c.own, c.peers)
		if got != c.want || ok != (c.want != Want{}) {
			t.Errorf("%s: %+v, %v, want %+v", c.name, got, ok, c.want)
		}
	}
}

// TestOneReadAtATime guards against copies from several peers that share a link.
func TestOneReadAtATime(t *testing.T) {
	own := Own{State: State{6, 9}, Away: true}
	peers := peersWith(30, State{Config: 7, List: 9})
	var l Ledger
	if _, _, ok := l.Next(start, own, peers); !ok {
		t.Fatal("nothing is read")
	}
	for second := range 20 {
		if _, _, ok := l.Next(start.Add(time.Duration(second)*time.Second), own, peers); ok {
			t.Fatalf("a second read after %d s", second)
		}
	}
	l.Done(start)
	if _, _, ok := l.Next(start.Add(time.Minute), own, peers); !ok {
		t.Error("no read after the end of another")
	}
}

func TestNeedless(t *testing.T) {
	for _, c := range []struct {
		name      string
		lacks, is Own
		want      bool
	}{
		{"still behind", Own{State: State{6, 9}, Away: true}, Own{State: State{6, 9}, Away: true}, false},
		{"an older configuration came", Own{State: State{5, 9}, Away: true}, Own{State: State{6, 9}, Away: true}, false},
		{"the same one came", Own{State: State{6, 9}, Away: true}, Own{State: State{7, 9}, Away: true}, true},
		{"the list still lacks", Own{State: State{6, 8}, Away: true}, Own{State: State{7, 8}, Away: true}, false},
		{"the list came", Own{State: State{6, 8}, Away: true}, Own{State: State{6, 9}, Away: true}, false},
		{"both came", Own{State: State{6, 8}, Away: true}, Own{State: State{7, 9}, Away: true}, true},
		{"only the list lacked", Own{State: State{7, 8}, Away: true}, Own{State: State{7, 9}, Away: true}, true},
		{"the registry is back", Own{State: State{6, 8}, Away: true}, Own{State: State{7, 8}}, true},
	} {
		var l Ledger
		if l.Needless(c.is) {
			t.Errorf("%s: needless without a read", c.name)
		}
		if _, _, ok := l.Next(start, c.lacks, peersWith(3, State{Config: 7, List: 9})); !ok {
			t.Errorf("%s: nothing is read", c.name)
		}
		if got := l.Needless(c.is); got != c.want {
			t.Errorf("%s: needless %v, want %v", c.name, got, c.want)
		}
	}
}

// TestOtherPeerAfterFailure checks that a peer that gave nothing is spared for a time.
func TestOtherPeerAfterFailure(t *testing.T) {
	own := Own{State: State{6, 9}, Away: true}
	peers := peersWith(2, State{Config: 7, List: 9})
	var l Ledger
	first, _, _ := l.Next(start, own, peers)
	l.Done(start)
	for i := range peers {
		if peers[i].Name == first {
			peers[i].AskedAt = start
		}
	}
	second, _, ok := l.Next(start, own, peers)
	if !ok || second == first {
		t.Errorf("reads from %q after %q", second, first)
	}
	l.Done(start)
	for i := range peers {
		peers[i].AskedAt = start
	}
	if from, _, ok := l.Next(start.Add(AskAgainAfter-1), own, peers); ok {
		t.Errorf("reads from %q too soon", from)
	}
	if _, _, ok := l.Next(start.Add(AskAgainAfter), own, peers); !ok {
		t.Error("never reads again")
	}
}

// TestPatienceInQuickChanges guards against a wait that begins anew with each newer version.
func TestPatienceInQuickChanges(t *testing.T) {
	own := Own{State: State{6, 9}}
	var l Ledger
	for n := range 10 {
		at := time.Duration(n) * 100 * time.Millisecond
		if _, _, ok := l.Next(start.Add(at), own, peersWith(3, State{Config: uint64(7 + n), List: 9})); ok {
			if at < Patience {
				t.Errorf("read from a peer after %v", at)
			}
			return
		}
	}
	t.Error("waits for the registry for ever")
}

// TestListsLeaveLink guards against lists that are read without a pause, since each change of the registry makes a newer one.
func TestListsLeaveLink(t *testing.T) {
	for _, takes := range []time.Duration{10 * time.Millisecond, time.Second} {
		var l Ledger
		reads, busy := 0, time.Duration(0)
		const step = 10 * time.Millisecond
		var ends time.Duration
		for at := time.Duration(0); at < time.Minute; at += step {
			now := start.Add(at)
			if ends > 0 && at >= ends {
				l.Done(now)
				ends = 0
			}
			peers := peersWith(300, State{Config: 7, List: 10 + uint64(at/step)})
			if _, _, ok := l.Next(now, Own{State: State{7, 9}, Away: true}, peers); ok {
				reads++
				busy += takes
				ends = at + takes
			}
		}
		if busy > time.Minute*2/5 || reads > 120 || reads < 15 {
			t.Errorf("%v each: %d reads that take %v in a minute", takes, reads, busy)
		}
	}
}

// TestConfigurationBetweenLists checks that the pause between lists delays no configuration.
func TestConfigurationBetweenLists(t *testing.T) {
	var l Ledger
	if _, want, _ := l.Next(start, Own{State: State{7, 8}, Away: true}, peersWith(3, State{Config: 7, List: 9})); !want.List {
		t.Fatal("no list is read")
	}
	l.Done(start.Add(time.Second))
	_, want, _ := l.Next(start.Add(time.Second), Own{State: State{7, 9}, Away: true}, peersWith(3, State{Config: 8, List: 10}))
	if want != (Want{Config: true}) {
		t.Errorf("reads %+v", want)
	}
}
