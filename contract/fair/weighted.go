package fair

import (
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Weighted shares capacity between client accounts by weighted fair queueing in
// virtual time. Within an account, requests with an earlier StartBy come first.
// Requests that can no longer meet their target come after those of all accounts
// that still can.
type Weighted struct {
	limit    int
	size     int
	accounts map[contract.AccountID]*accountQueue
	// index finds the account of a waiting request.
	index map[contract.RequestID]contract.AccountID
	// virtual is the queue's virtual time: the highest start of a served request.
	virtual float64
	// evicted holds evicted requests until Expire returns them.
	evicted []Item
}

// accountQueue holds one account's waiting requests in the order of compareSlack.
// An empty one is kept while its virtual time is ahead of the queue's, so that the
// account cannot reset its usage by pausing.
type accountQueue struct {
	items  []Item
	weight float64
	// finish is the account's virtual time: tokens served divided by weight.
	finish float64
}

// NewWeighted returns an empty queue.
func NewWeighted(limit int) *Weighted {
	return &Weighted{
		limit:    limit,
		accounts: make(map[contract.AccountID]*accountQueue),
		index:    make(map[contract.RequestID]contract.AccountID),
	}
}

// Push implements Queue. If the queue is full, it evicts the last request of the
// account with the most waiting requests in proportion to its weight, and refuses
// item if that is the item's own account.
func (w *Weighted) Push(_ time.Time, item Item) *contract.Refusal {
	if _, ok := w.index[item.Request]; ok {
		return contract.Refuse(contract.CodeInternal, "the request is already in the queue")
	}
	if w.size >= w.limit && !w.evictFor(item) {
		return refuseFull()
	}
	l := w.accountQueue(item)
	at := sort.Search(len(l.items), func(i int) bool { return compareSlack(l.items[i], item) > 0 })
	l.items = slices.Insert(l.items, at, item)
	w.index[item.Request] = item.Account
	w.size++
	return nil
}

// accountQueue returns the queue of the item's account and creates it if necessary. An
// account that was idle starts at the queue's virtual time: it gets no credit for
// capacity that others used meanwhile.
func (w *Weighted) accountQueue(item Item) *accountQueue {
	l, ok := w.accounts[item.Account]
	if !ok {
		l = &accountQueue{}
		w.accounts[item.Account] = l
	}
	if len(l.items) == 0 {
		l.finish = max(l.finish, w.virtual)
	}
	l.weight = float64(max(item.Weight, 1))
	return l
}

// compareSlack orders items by StartBy, then by arrival. Resumed items come first,
// items without a target last.
func compareSlack(a, b Item) int {
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

// evictFor evicts the last item of the account queue that is longest in proportion
// to its weight. It returns false if that would be the new item's own queue.
func (w *Weighted) evictFor(item Item) bool {
	own := 1.0
	if l, ok := w.accounts[item.Account]; ok {
		own += float64(len(l.items))
	}
	worst := own / float64(max(item.Weight, 1))
	var victim *accountQueue
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
	w.removeAt(victim, len(victim.items)-1)
	return true
}

// Pop implements Queue.
func (w *Weighted) Pop(now time.Time) (item Item, ok bool) {
	var best *accountQueue
	bestAt, bestLate := 0, true
	for _, l := range w.accounts {
		at, late := l.next(now)
		if at < 0 {
			continue
		}
		if best == nil || servedBefore(l, late, best, bestLate) {
			best, bestAt, bestLate = l, at, late
		}
	}
	if best == nil {
		return Item{}, false
	}
	item = w.removeAt(best, bestAt)
	w.virtual = max(w.virtual, best.finish)
	best.finish += float64(max(item.Cost, 1)) / best.weight
	w.removeIdle()
	return item, true
}

// servedBefore orders two account queues by the item that each would serve: items in
// time before late ones, then by virtual time. Ties are broken by account ID, so
// that runs are reproducible.
func servedBefore(a *accountQueue, aLate bool, b *accountQueue, bLate bool) bool {
	if aLate != bLate {
		return !aLate
	}
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.items[0].Account < b.items[0].Account
}

// next returns the index of the item to serve: the first one in time, else the
// first that is late and patient. at is -1 if there is none.
func (l *accountQueue) next(now time.Time) (at int, late bool) {
	at = -1
	for i := range l.items {
		item := &l.items[i]
		if item.expired(now) {
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

// removeAt removes the item with index at from its account queue.
func (w *Weighted) removeAt(l *accountQueue, at int) Item {
	item := l.items[at]
	l.items = slices.Delete(l.items, at, at+1)
	delete(w.index, item.Request)
	w.size--
	return item
}

// removeIdle removes empty account queues that the queue's virtual time has
// reached.
func (w *Weighted) removeIdle() {
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
	w.removeAt(l, at)
	return true
}

// Expire implements Queue.
func (w *Weighted) Expire(now time.Time) []Item {
	out := w.evicted
	w.evicted = nil
	for _, l := range w.accounts {
		for i := len(l.items) - 1; i >= 0; i-- {
			if l.items[i].expired(now) {
				out = append(out, w.removeAt(l, i))
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
