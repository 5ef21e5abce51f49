package fair

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Weighted shares capacity between client accounts by weighted virtual time and
// serves requests with less slack first within an account. A request that can
// no longer meet its target goes after all that can, of whatever account.
type Weighted struct {
	limit    int
	size     int
	accounts map[contract.AccountID]*line
	index    map[contract.RequestID]contract.AccountID
	// virtual is the virtual time of the account served last.
	virtual float64
	evicted []Item
}

// line is one account's waiting requests in the order of their slack. It stays
// while the account's virtual time is ahead of the queue's.
type line struct {
	items  []Item
	weight float64
	// finish is the account's virtual time: tokens served over weight.
	finish float64
}

// NewWeighted returns an empty queue.
func NewWeighted(limit int) *Weighted {
	return &Weighted{
		limit:    limit,
		accounts: make(map[contract.AccountID]*line),
		index:    make(map[contract.RequestID]contract.AccountID),
	}
}

// Push implements Queue. In a full queue the account with the most waiting
// requests for its weight gives up its last one.
func (w *Weighted) Push(_ time.Time, item Item) *contract.Refusal {
	if _, ok := w.index[item.Request]; ok {
		return contract.Refuse(contract.CodeInternal, "the request waits already")
	}
	if w.size >= w.limit && !w.makeRoom(item) {
		return full()
	}
	l := w.line(item)
	at := sort.Search(len(l.items), func(i int) bool { return lessSlack(l.items[i], item) > 0 })
	l.items = slices.Insert(l.items, at, item)
	w.index[item.Request] = item.Account
	w.size++
	return nil
}

// line finds or makes the account's line. An account that comes back after a
// pause has no claim on the capacity that others used meanwhile.
func (w *Weighted) line(item Item) *line {
	l, ok := w.accounts[item.Account]
	if !ok {
		l = &line{}
		w.accounts[item.Account] = l
	}
	if len(l.items) == 0 {
		l.finish = max(l.finish, w.virtual)
	}
	l.weight = float64(max(item.Weight, 1))
	return l
}

// lessSlack orders items by their latest start; resumed ones come first, those
// without a target last.
func lessSlack(a, b Item) int {
	switch {
	case a.Resumed != b.Resumed:
		if a.Resumed {
			return -1
		}
		return 1
	case a.StartBy.Equal(b.StartBy):
		return a.Arrived.Compare(b.Arrived)
	case a.StartBy.IsZero():
		return 1
	case b.StartBy.IsZero():
		return -1
	default:
		return a.StartBy.Compare(b.StartBy)
	}
}

// makeRoom takes out the last item of the longest line for its weight, unless
// the new item's own line would be the longest.
func (w *Weighted) makeRoom(item Item) bool {
	own := 1.0
	if l, ok := w.accounts[item.Account]; ok {
		own += float64(len(l.items))
	}
	worst := own / float64(max(item.Weight, 1))
	var victim *line
	for id, l := range w.accounts {
		load := float64(len(l.items)) / l.weight
		tie := victim != nil && load == worst && id < victim.items[0].Account
		if id != item.Account && (load > worst || tie) {
			worst, victim = load, l
		}
	}
	if victim == nil {
		return false
	}
	last := victim.items[len(victim.items)-1]
	w.evicted = append(w.evicted, last)
	w.take(victim, len(victim.items)-1)
	return true
}

// Pop implements Queue.
func (w *Weighted) Pop(now time.Time) (item Item, ok bool) {
	var best *line
	bestAt, bestLate := 0, true
	for _, l := range w.accounts {
		at, late := l.next(now)
		if at < 0 {
			continue
		}
		if best == nil || before(l, late, best, bestLate) {
			best, bestAt, bestLate = l, at, late
		}
	}
	if best == nil {
		return Item{}, false
	}
	item = w.take(best, bestAt)
	w.virtual = max(w.virtual, best.finish)
	best.finish += float64(max(item.Cost, 1)) / best.weight
	w.forgetIdle()
	return item, true
}

// before orders two lines with something to serve: in time before late, then by
// virtual time; the account's name breaks ties so that runs repeat.
func before(a *line, aLate bool, b *line, bLate bool) bool {
	if aLate != bLate {
		return !aLate
	}
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.items[0].Account < b.items[0].Account
}

// next finds the item to serve: the first one in time, else the first that is
// late and patient. at is -1 if there is none.
func (l *line) next(now time.Time) (at int, late bool) {
	at = -1
	for i := range l.items {
		item := &l.items[i]
		if item.over(now) {
			continue
		}
		if !item.late(now) {
			return i, false
		}
		if at < 0 {
			at = i
		}
	}
	return at, true
}

// take removes an item from its line.
func (w *Weighted) take(l *line, at int) Item {
	item := l.items[at]
	l.items = slices.Delete(l.items, at, at+1)
	delete(w.index, item.Request)
	w.size--
	return item
}

// forgetIdle drops empty lines whose virtual time others have passed.
func (w *Weighted) forgetIdle() {
	for id, l := range w.accounts {
		if len(l.items) == 0 && l.finish <= w.virtual {
			delete(w.accounts, id)
		}
	}
}

// Remove implements Queue.
func (w *Weighted) Remove(id contract.RequestID) bool {
	account, ok := w.index[id]
	if !ok {
		return false
	}
	l := w.accounts[account]
	at := slices.IndexFunc(l.items, func(i Item) bool { return i.Request == id })
	w.take(l, at)
	return true
}

// Expire implements Queue.
func (w *Weighted) Expire(now time.Time) []Item {
	out := w.evicted
	w.evicted = nil
	for _, l := range w.accounts {
		for i := len(l.items) - 1; i >= 0; i-- {
			if l.items[i].over(now) {
				out = append(out, w.take(l, i))
			}
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return strings.Compare(string(a.Request), string(b.Request)) })
	return out
}

// Len implements Queue.
func (w *Weighted) Len() int {
	return w.size
}
