package quarantine

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// Durations and limits of a PartTable.
const (
	// firstBan is the duration of the first ban of parts. It doubles with each crash after
	// its end, up to maxBan. It is short because prompts that were banned by coincidence
	// are served again when it ends.
	firstBan = time.Minute
	maxBan   = 4 * time.Hour
	// settleFor is how long other processes have to tell of a crash what they saw of it,
	// before it counts.
	settleFor = time.Second
	// probeEvery is the interval at which a process lets a prompt through after a ban ended,
	// until a prompt is answered or crashes its engine.
	probeEvery = 10 * time.Second
	// forgetAfter is how long after its end a ban without a probe is kept.
	forgetAfter = time.Hour
	// suspectFor is how long a cut counts.
	suspectFor = time.Hour
	// maxCuts and maxBans bound what is kept, maxSoundParts the parts that are known from
	// answers.
	maxCuts       = 256
	maxBans       = 64
	maxSoundParts = 4096
)

// Cut is a request whose engine crashed before it began the answer.
type Cut struct {
	Crash   CrashID
	Request contract.Fingerprint
	// Parts are the shared parts of the prompt, in ascending order.
	Parts []contract.PartID
	// SentAt is when the request was sent to the engine, At when it was cut.
	SentAt, At time.Time
}

// ban refuses prompts that contain all of its parts.
type ban struct {
	parts []contract.PartID
	// until ends the refusal of all prompts; probes follow until forgetAfter later.
	until time.Time
	// lasts is the duration of the ban in force, or of the last one.
	lasts     time.Duration
	lastCrash time.Time
	nextProbe time.Time
}

// PartTable decides which prompts are refused because of parts that crash engines, whatever
// else the requests hold. A set of parts is banned that all cut requests with one of them
// have in common, so that a prompt with only some of the parts is served. An answer that
// begins shows that each part of its prompt is sound.
//
// A PartTable has no lock of its own: its users guard it with a lock of rank
// table.RankQuarantine.
type PartTable struct {
	// cuts has the latest one last.
	cuts []Cut
	bans []*ban
	// sound holds when an answer last began with a part. When it is full it becomes
	// olderSound, so parts without a recent answer are forgotten.
	sound, olderSound map[contract.PartID]time.Time
	// undecided is set while there are cuts that Decide has not counted.
	undecided bool
	mayProbe  bool
}

// NewPartTable returns a table without bans.
func NewPartTable() *PartTable {
	return &PartTable{sound: make(map[contract.PartID]time.Time)}
}

// Len returns the number of bans, ended ones included.
func (t *PartTable) Len() int {
	return len(t.bans)
}

// RecordCut records a request that a crash cut before its answer began. A later Decide
// counts it.
func (t *PartTable) RecordCut(now time.Time, c Cut) {
	known := slices.ContainsFunc(t.cuts, func(k Cut) bool { return k.Crash == c.Crash && k.Request == c.Request })
	if len(c.Parts) == 0 || known {
		return
	}
	t.cuts = append(t.cuts, c)
	t.cuts = slices.Delete(t.cuts, 0, max(0, len(t.cuts)-maxCuts))
	t.undecided = true
	if b := t.onlyExplanation(c); b != nil {
		b.lastCrash = later(b.lastCrash, c.At)
		if c.SentAt.After(b.until) {
			b.lasts = min(2*b.lasts, maxBan)
			b.until = now.Add(b.lasts)
		}
	}
}

// onlyExplanation returns the ban of the cut request if no other ban explains the crash.
func (t *PartTable) onlyExplanation(c Cut) *ban {
	bans := t.explainedCrashes()[c.Crash]
	if len(bans) == 1 && containsAll(c.Parts, bans[0].parts) {
		return bans[0]
	}
	return nil
}

// RecordAnswerBegun records that an engine began an answer to a prompt with these parts and
// did not crash. It ends the bans of all prompts with some of these parts only.
func (t *PartTable) RecordAnswerBegun(now time.Time, parts []contract.PartID) {
	for _, part := range parts {
		t.markSound(now, part)
	}
	t.narrowBans()
}

func (t *PartTable) markSound(at time.Time, part contract.PartID) {
	if !at.After(t.lastSound(part)) {
		return
	}
	if len(t.sound) >= maxSoundParts/2 {
		t.olderSound, t.sound = t.sound, make(map[contract.PartID]time.Time)
	}
	t.sound[part] = at
}

// lastSound returns when an answer last began with a part, the zero time if none is known.
func (t *PartTable) lastSound(part contract.PartID) time.Time {
	return later(t.sound[part], t.olderSound[part])
}

// narrowBans narrows all bans and removes those without parts.
func (t *PartTable) narrowBans() {
	for _, b := range t.bans {
		t.narrow(b)
	}
	t.removeRedundantBans()
}

// narrow removes the parts that an answer began with after the last crash.
func (t *PartTable) narrow(b *ban) {
	b.parts = slices.DeleteFunc(b.parts, func(part contract.PartID) bool { return t.lastSound(part).After(b.lastCrash) })
}

// removeRedundantBans removes bans without parts and those of prompts that a wider ban
// refuses.
func (t *PartTable) removeRedundantBans() {
	slices.SortStableFunc(t.bans, func(a, b *ban) int { return len(a.parts) - len(b.parts) })
	var kept []*ban
	for _, b := range t.bans {
		redundant := slices.ContainsFunc(kept, func(wider *ban) bool { return containsAll(b.parts, wider.parts) })
		if len(b.parts) > 0 && !redundant {
			kept = append(kept, b)
		}
	}
	t.bans = kept
}

// SetMayProbe sets whether this process lets prompts through after the end of a ban. One
// process of a fleet should.
func (t *PartTable) SetMayProbe(may bool) {
	t.mayProbe = may
}

// Check returns a refusal of a prompt that contains all parts of a ban, else nil.
func (t *PartTable) Check(now time.Time, parts []contract.PartID) *contract.Refusal {
	for _, b := range t.bans {
		if !containsAll(parts, b.parts) || !now.Before(b.until.Add(forgetAfter)) {
			continue
		}
		end := later(b.until, b.nextProbe)
		if t.mayProbe && !now.Before(end) {
			b.nextProbe = now.Add(probeEvery)
			continue
		}
		refusal := contract.Refuse(contract.CodeQuarantined, "the prompt has a part that crashed the engines that answered it")
		refusal.After = max(end.Sub(now), probeEvery)
		return refusal
	}
	return nil
}

// Decide adds the bans that the cuts give reason for, of those that other processes had the
// time to add theirs to, and drops bans that others explain. It returns the parts that are
// banned by it.
func (t *PartTable) Decide(now time.Time) (banned [][]contract.PartID) {
	if !t.undecided {
		return nil
	}
	t.expire(now)
	t.undecided = slices.ContainsFunc(t.cuts, func(c Cut) bool { return now.Sub(c.At) < settleFor })
	for _, found := range t.findCulprits(now) {
		refused := slices.ContainsFunc(t.bans, func(b *ban) bool { return containsAll(found.parts, b.parts) })
		if refused {
			continue
		}
		t.addBan(&ban{parts: found.parts, lasts: firstBan, until: now.Add(firstBan), lastCrash: found.lastCrash})
		banned = append(banned, slices.Clone(found.parts))
	}
	t.dropExplainedBans()
	return t.inForce(banned)
}

// inForce returns those of the sets of parts that are banned.
func (t *PartTable) inForce(sets [][]contract.PartID) [][]contract.PartID {
	return slices.DeleteFunc(sets, func(parts []contract.PartID) bool {
		return !slices.ContainsFunc(t.bans, func(b *ban) bool { return slices.Equal(b.parts, parts) })
	})
}

func (t *PartTable) addBan(b *ban) {
	if len(t.bans) >= maxBans {
		first := slices.MinFunc(t.bans, func(x, y *ban) int { return x.until.Compare(y.until) })
		t.bans = slices.DeleteFunc(t.bans, func(x *ban) bool { return x == first })
	}
	t.bans = append(t.bans, b)
	t.removeRedundantBans()
}

// dropExplainedBans drops bans of which other bans explain all crashes, first those of
// parts that answers began with before.
func (t *PartTable) dropExplainedBans() {
	if len(t.bans) < 2 {
		return
	}
	explained := t.explainedCrashes()
	for _, soundBefore := range []bool{true, false} {
		t.bans = slices.DeleteFunc(t.bans, func(b *ban) bool {
			if t.soundBefore(b.parts) != soundBefore || !othersExplain(b, explained) {
				return false
			}
			for crash, bans := range explained {
				explained[crash] = slices.DeleteFunc(bans, func(x *ban) bool { return x == b })
			}
			return true
		})
	}
}

// othersExplain reports whether crashes of a ban are known and other bans explain all of
// them.
func othersExplain(b *ban, explained map[CrashID][]*ban) bool {
	crashes := 0
	for _, bans := range explained {
		if !slices.Contains(bans, b) {
			continue
		}
		if len(bans) == 1 {
			return false
		}
		crashes++
	}
	return crashes > 0
}

// soundBefore reports whether answers began with all of the parts.
func (t *PartTable) soundBefore(parts []contract.PartID) bool {
	return !slices.ContainsFunc(parts, func(part contract.PartID) bool { return t.lastSound(part).IsZero() })
}

// expire removes cuts that are no longer suspicious, and forgotten bans.
func (t *PartTable) expire(now time.Time) {
	t.cuts = slices.DeleteFunc(t.cuts, func(c Cut) bool { return now.Sub(c.At) > suspectFor })
	t.bans = slices.DeleteFunc(t.bans, func(b *ban) bool { return !now.Before(b.until.Add(forgetAfter)) })
}

// explainedCrashes returns the bans that explain each crash: all of their parts were in a
// request that it cut.
func (t *PartTable) explainedCrashes() map[CrashID][]*ban {
	explained := make(map[CrashID][]*ban)
	for _, c := range t.cuts {
		for _, b := range t.bans {
			if containsAll(c.Parts, b.parts) && !slices.Contains(explained[c.Crash], b) {
				explained[c.Crash] = append(explained[c.Crash], b)
			}
		}
	}
	return explained
}
