package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Evidence that bans a set of parts.
const (
	// crashesToBan is the number of crashes in succession after which parts are banned
	// that no answer began with before; crashesToBanSound that for other parts.
	crashesToBan      = 3
	crashesToBanSound = 5
	// crashesToWiden is the number of crashes in succession without a part after which the
	// other parts are banned without it, and so more prompts.
	crashesToWiden = 2
	// requestsToBan different requests must have been cut: the parts of a single one are
	// not told apart from the request itself.
	requestsToBan = 2
)

// culprits are parts that explain crashes.
type culprits struct {
	parts []contract.PartID
	// crashes are those that they explain; requests counts the requests that these cut.
	crashes   map[CrashID]bool
	requests  int
	lastCrash time.Time
	// soundBefore is set if an answer began with all of them before the crashes.
	soundBefore bool
}

// likelierThan prefers parts that no answer began with, then those with more crashes, then
// those that refuse fewer prompts. A request that crashes an engine is the only such one,
// while the parts of bystanders may be in several.
func (c culprits) likelierThan(other culprits) bool {
	switch {
	case len(other.parts) == 0:
		return true
	case c.soundBefore != other.soundBefore:
		return other.soundBefore
	case len(c.crashes) != len(other.crashes):
		return len(c.crashes) > len(other.crashes)
	case len(c.parts) != len(other.parts):
		return len(c.parts) > len(other.parts)
	default:
		return c.requests < other.requests
	}
}

// findCulprits returns sets of parts that explain the crashes, the likeliest first. Each
// explains crashes that those before it do not.
func (t *PartTable) findCulprits(now time.Time) (all []culprits) {
	cutsOf := make(map[contract.PartID][]Cut)
	for _, c := range t.cuts {
		for _, part := range c.Parts {
			if now.Sub(c.At) >= settleFor && c.At.After(t.lastSound(part)) {
				cutsOf[part] = append(cutsOf[part], c)
			}
		}
	}
	for {
		var likeliest culprits
		for _, part := range slices.Sorted(maps.Keys(cutsOf)) {
			if found, ok := t.judge(part, cutsOf[part]); ok && found.likelierThan(likeliest) {
				likeliest = found
			}
		}
		if len(likeliest.parts) == 0 {
			return all
		}
		all = append(all, likeliest)
		for part, cuts := range cutsOf {
			cutsOf[part] = slices.DeleteFunc(cuts, func(c Cut) bool { return likeliest.crashes[c.Crash] })
		}
	}
}

// MayBecomeSuspect reports whether Suspects may be true after one more crash.
func (t *PartTable) MayBecomeSuspect(parts []contract.PartID, request contract.Fingerprint) bool {
	return t.isMissing(parts, request, 2)
}

// Suspects reports whether one more crash would ban some of the parts. A request that
// crashed an engine is then not worth another one. Crashes of the given request alone do
// not count.
func (t *PartTable) Suspects(parts []contract.PartID, request contract.Fingerprint) bool {
	return t.isMissing(parts, request, 1)
}

// isMissing reports whether a part needs at most that many more crashes to be banned.
func (t *PartTable) isMissing(parts []contract.PartID, request contract.Fingerprint, most int) bool {
	return slices.ContainsFunc(parts, func(part contract.PartID) bool {
		var cuts []Cut
		others := false
		for _, c := range t.cuts {
			if containsAll(c.Parts, []contract.PartID{part}) && c.At.After(t.lastSound(part)) {
				cuts = append(cuts, c)
				others = others || c.Request != request
			}
		}
		return others && crashesInSuccession(cuts)+most >= t.crashesNeeded(part)
	})
}

// crashesNeeded is the number of crashes in succession that ban a part.
func (t *PartTable) crashesNeeded(part contract.PartID) int {
	if t.lastSound(part).IsZero() {
		return crashesToBan
	}
	return crashesToBanSound
}

// judge returns what the cut requests with a part have in common. ok is false if there are
// too few of them to ban it.
func (t *PartTable) judge(part contract.PartID, cuts []Cut) (found culprits, ok bool) {
	needed := t.crashesNeeded(part)
	if len(cuts) < needed || crashesInSuccession(cuts) < needed {
		return culprits{}, false
	}
	requests := make(map[contract.Fingerprint]bool)
	found.crashes = make(map[CrashID]bool)
	for _, c := range cuts {
		requests[c.Request] = true
		found.crashes[c.Crash] = true
		found.lastCrash = later(found.lastCrash, c.At)
	}
	if len(requests) < requestsToBan {
		return culprits{}, false
	}
	found.parts = t.commonParts(part, cuts)
	found.requests = len(requests)
	found.soundBefore = t.soundBefore(found.parts)
	return found, true
}

// crashesInSuccession counts crashes of which each cut a request that was sent after the one
// before. Engines that crash together count once, whatever ended them.
func crashesInSuccession(cuts []Cut) (n int) {
	cuts = slices.Clone(cuts)
	slices.SortFunc(cuts, func(a, b Cut) int { return a.At.Compare(b.At) })
	var last time.Time
	counted := make(map[CrashID]bool)
	for _, c := range cuts {
		if !c.SentAt.Before(last) && !counted[c.Crash] {
			n++
			last = c.At
			counted[c.Crash] = true
		}
	}
	return n
}

// commonParts returns a part and those that cut requests with it have in common, without
// those that an answer began with since. Fewer than crashesToWiden crashes without a part do
// not remove it, as they may be a coincidence, unless an answer began with it before.
func (t *PartTable) commonParts(part contract.PartID, cuts []Cut) []contract.PartID {
	counts := make(map[contract.PartID]int)
	for _, c := range cuts {
		for _, p := range c.Parts {
			if p != part && c.At.After(t.lastSound(p)) {
				counts[p]++
			}
		}
	}
	candidates := slices.SortedFunc(maps.Keys(counts), func(a, b contract.PartID) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	common := []contract.PartID{part}
	for _, candidate := range candidates {
		tolerated := crashesToWiden
		if !t.lastSound(candidate).IsZero() {
			tolerated = 1
		}
		with := append(slices.Clone(common), candidate)
		without := slices.DeleteFunc(slices.Clone(cuts), func(c Cut) bool { return containsAll(c.Parts, with) })
		if crashesInSuccession(without) < tolerated {
			common = with
		}
	}
	slices.Sort(common)
	return common
}

// containsAll reports whether sorted parts contain all of wanted.
func containsAll(parts, wanted []contract.PartID) bool {
	for _, part := range wanted {
		if _, found := slices.BinarySearch(parts, part); !found {
			return false
		}
	}
	return true
}
