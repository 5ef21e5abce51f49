package quarantine

import (
	"slices"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// PartNotes is what a process tells another one about parts that crash engines. Times are
// ages, as the clocks of processes differ.
type PartNotes struct {
	Cuts  []CutNote
	Bans  []BanNote
	Sound []SoundNote
}

// CutNote is a Cut.
type CutNote struct {
	Crash           CrashID
	Request         contract.Fingerprint
	Parts           []contract.PartID
	SentAge, CutAge time.Duration
}

// BanNote is a ban of the prompts that contain all of Parts.
type BanNote struct {
	Parts []contract.PartID
	// For is how long it still lasts; negative if probes are let through. Lasts is its
	// whole duration.
	For, Lasts time.Duration
	// CrashAge is the time since the last crash with these parts.
	CrashAge time.Duration
}

// SoundNote says that an engine began an answer to a prompt with a suspicious part.
type SoundNote struct {
	Part contract.PartID
	Age  time.Duration
}

// shareCutsFor is how long a cut is sent to other processes, which exchange messages with
// each other more often.
const shareCutsFor = 5 * time.Second

// maxNoteDelay is the age of a note that its process cannot know: the time of the message.
// A request counts as sent that much earlier, so that it never seems to be sent after a
// crash that was at the same time.
const maxNoteDelay = 400 * time.Millisecond

// Empty reports whether there is nothing to tell.
func (n PartNotes) Empty() bool {
	return len(n.Cuts)+len(n.Bans)+len(n.Sound) == 0
}

// Notes returns the bans, the cuts of the last shareCutsFor, the latest first, and which
// of their parts were sound since; at most DefaultMaxNotes of each.
func (t *PartTable) Notes(now time.Time) (n PartNotes) {
	t.expire(now)
	n.Bans = t.Bans(now)
	for _, c := range slices.Backward(t.cuts) {
		if len(n.Cuts) == DefaultMaxNotes || now.Sub(c.At) > shareCutsFor {
			break
		}
		n.Cuts = append(n.Cuts, CutNote{c.Crash, c.Request, c.Parts, now.Sub(c.SentAt), now.Sub(c.At)})
	}
	for _, c := range n.Cuts {
		for _, part := range c.Parts {
			age := now.Sub(t.lastSound(part))
			known := slices.ContainsFunc(n.Sound, func(s SoundNote) bool { return s.Part == part })
			if age < c.CutAge && !known && len(n.Sound) < DefaultMaxNotes {
				n.Sound = append(n.Sound, SoundNote{part, age})
			}
		}
	}
	return n
}

// Bans returns the bans, at most DefaultMaxNotes, the widest first.
func (t *PartTable) Bans(now time.Time) (notes []BanNote) {
	for _, b := range t.bans[:min(len(t.bans), DefaultMaxNotes)] {
		notes = append(notes, BanNote{slices.Clone(b.parts), b.until.Sub(now), b.lasts, now.Sub(b.lastCrash)})
	}
	return notes
}

// Merge adds the notes of another process. It returns the sets of parts that are banned by
// them and were not before. Invalid notes are left out.
func (t *PartTable) Merge(now time.Time, n PartNotes) (banned [][]contract.PartID) {
	for _, s := range n.Sound[:min(len(n.Sound), DefaultMaxNotes)] {
		t.markSound(now.Add(-max(0, s.Age)), s.Part)
	}
	t.narrowBans()
	for _, note := range slices.Backward(n.Cuts[:min(len(n.Cuts), DefaultMaxNotes)]) {
		if !validParts(note.Parts) || note.CutAge < 0 || note.SentAge < note.CutAge {
			continue
		}
		cut := Cut{note.Crash, note.Request, note.Parts, now.Add(-note.SentAge - maxNoteDelay), now.Add(-note.CutAge)}
		t.RecordCut(now, cut)
	}
	for _, note := range n.Bans[:min(len(n.Bans), DefaultMaxNotes)] {
		if note.valid() && t.mergeBan(now, note) {
			banned = append(banned, note.Parts)
		}
	}
	if len(banned) > 0 {
		t.dropExplainedBans()
	}
	return append(t.inForce(banned), t.Decide(now)...)
}

// mergeBan reports whether the ban refuses prompts that were not refused before.
func (t *PartTable) mergeBan(now time.Time, note BanNote) bool {
	other := &ban{parts: slices.Clone(note.Parts), lasts: note.Lasts, until: now.Add(note.For), lastCrash: now.Add(-note.CrashAge)}
	t.narrow(other)
	if len(other.parts) == 0 {
		return false
	}
	for _, b := range t.bans {
		if slices.Equal(b.parts, other.parts) {
			b.until, b.lastCrash = later(b.until, other.until), later(b.lastCrash, other.lastCrash)
			b.lasts = max(b.lasts, other.lasts)
			return false
		}
		if containsAll(other.parts, b.parts) {
			return false
		}
	}
	t.addBan(other)
	return true
}

func (n BanNote) valid() bool {
	return validParts(n.Parts) && n.Lasts > 0 && n.Lasts <= maxBan && n.For <= n.Lasts && n.For > -forgetAfter && n.CrashAge >= 0
}

// validParts reports whether parts are in ascending order, without repeats, and neither none
// nor too many.
func validParts(parts []contract.PartID) bool {
	for i := 1; i < len(parts); i++ {
		if parts[i-1] >= parts[i] {
			return false
		}
	}
	return len(parts) > 0 && len(parts) <= contract.MaxPromptParts
}
