package claim

import (
	"fmt"
	"hash/maphash"
	"testing"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// The walk visits every state that two entries with the same request, one
// sidecar and the table can reach, whatever is lost, late, paused or replaced.
// Entries run the real Machine and Duty, the sidecar the real Fate.

const (
	walkEntries  = 2
	walkAttempts = 2
	walkCalls    = walkEntries * walkAttempts
	// walkWrites is how many writes of one entry may be on their way at once;
	// a newer one takes the place of an older, which never arrives.
	walkWrites = 1
	// maxVersions is more than there are after normalizing, and one write.
	maxVersions = 12
	// walkLimit bounds the states, so that a mistake in the walk ends.
	walkLimit = 3_000_000
)

// told is what a caller was told last.
type told uint8

const (
	toldNothing told = iota
	toldNotRun
	toldMaybe
	toldAnswer
)

type walkRow struct {
	state   State
	call    int8
	version int8
}

// walkWrite is a write on its way to the table.
type walkWrite struct {
	on      bool
	expects int8
	to      State
	call    int8
}

type walkEntry struct {
	machine Machine
	do      Do
	about   int8
	landed  int8 // 1 applied, 2 conflict: the fate of the claim just written
	duty    Duty
	told    told
	gone    bool
	writes  [walkWrites]walkWrite
}

// world is one state. It holds no pointers, so that it can be a map's key.
type world struct {
	row      walkRow
	versions int8
	fates    [walkCalls]Fate
	ran      [walkCalls]bool
	// onWay are sends that may still arrive; refused were refused on arrival.
	onWay   [walkCalls]bool
	refused [walkCalls]bool
	arrived [walkCalls]bool
	swapped bool
	entries [walkEntries]walkEntry
}

// guards are what a walk may do without, to see that the walk would tell.
type guards struct {
	noLapse, noGrantNeeded, noCondition, neverWhenForgotten bool
}

var noGrant = contract.Refuse(contract.CodeNoUpstream, "walk")

type walker struct {
	guards guards
	// attempts bounds the attempts of each entry.
	attempts [walkEntries]contract.Attempt
	seen     map[uint64]bool
	seed     maphash.Seed
	queue    []world
	problem  string
}

func callOf(i int8) contract.CallID {
	return contract.CallID{
		Request: contract.RequestID([]string{"a", "b"}[i/walkAttempts]),
		Attempt: contract.Attempt(i%walkAttempts) + 1,
	}
}

func indexOf(call contract.CallID) int8 {
	entry := int8(0)
	if call.Request == "b" {
		entry = 1
	}
	return entry*walkAttempts + int8(call.Attempt) - 1
}

// visit notes a state and checks what must always hold.
func (k *walker) visit(w world) {
	k.check(&w)
	w.normalize()
	hash := maphash.Comparable(k.seed, w)
	if k.seen[hash] || k.problem != "" {
		return
	}
	if len(k.seen) >= walkLimit {
		k.problem = "more states than the limit"
		return
	}
	k.seen[hash] = true
	k.queue = append(k.queue, w)
}

// check checks what must always hold.
func (k *walker) check(w *world) {
	runs := 0
	for _, ran := range w.ran {
		if ran {
			runs++
		}
	}
	if runs > 1 {
		k.problem = fmt.Sprintf("ran twice: %+v", *w)
	}
	for i, e := range w.entries {
		for a := range walkAttempts {
			if e.told == toldNotRun && w.ran[i*walkAttempts+a] {
				k.problem = fmt.Sprintf("told not run, but ran: %+v", *w)
			}
		}
		if e.told == toldAnswer && runs != 1 {
			k.problem = fmt.Sprintf("told an answer of nothing: %+v", *w)
		}
	}
}

// normalize makes states equal that differ in nothing that can still matter:
// how often a look was repeated, what an entry held that is over, and the
// numbers of versions, of which only the order counts.
func (w *world) normalize() {
	for i := range w.entries {
		e := &w.entries[i]
		m := &e.machine
		if e.gone || m.Over() {
			*m = Machine{phase: phaseOver}
			e.do, e.about, e.landed = DoNothing, 0, 0
		}
		if e.gone {
			e.duty = Duty{}
		}
		if m.Over() && e.told != toldNotRun {
			e.told = toldNothing
		}
		m.looks = 0
		for a := range int8(walkAttempts) {
			c := int8(i)*walkAttempts + a
			if e.do != DoSend || indexOf(m.call) != c {
				w.refused[c], w.arrived[c] = false, false
			}
		}
		m.reads, m.replays = 0, 0
		m.forgotten = min(m.forgotten, 1)
	}
	w.normalizeVersions()
}

func (w *world) normalizeVersions() {
	used := []*int8{&w.row.version}
	for i := range w.entries {
		for s := range w.entries[i].writes {
			used = append(used, &w.entries[i].writes[s].expects)
		}
	}
	var present [maxVersions]bool
	present[0] = true
	for _, v := range used {
		present[*v] = true
	}
	for i := range w.entries {
		present[w.entries[i].machine.version] = true
	}
	var rank [maxVersions]int8
	next := int8(0)
	for v := range present {
		rank[v] = next
		if present[v] {
			next++
		}
	}
	for _, v := range used {
		*v = rank[*v]
	}
	for i := range w.entries {
		w.entries[i].machine.version = uint64(rank[w.entries[i].machine.version])
	}
	w.versions = next - 1
}

// act applies a machine's next action to its entry.
func (w *world) act(i int, a Action) {
	e := &w.entries[i]
	if a.Duty.Kind != DutyNone {
		e.duty = a.Duty
	}
	if a.Do == DoPause {
		// Whatever may happen in a pause may also happen before or after it.
		a = e.machine.Paused()
	}
	e.do = a.Do
	e.landed = 0
	switch a.Do {
	case DoClaim:
		w.launch(i, walkWrite{on: true, expects: int8(a.Version), to: StateClaimed, call: indexOf(a.Call)})
	case DoSend:
		w.onWay[indexOf(a.Call)] = true
	case DoAsk:
		e.about = indexOf(a.Call)
	case DoDeliver:
		e.told = toldAnswer
	case DoRefuse:
		e.told = toldMaybe
		if a.Refusal.Ran == contract.RanNo {
			e.told = toldNotRun
		}
	}
}

// launch puts a write on its way. The oldest one never arrives if there is no
// room for it.
func (w *world) launch(i int, write walkWrite) {
	e := &w.entries[i]
	copy(e.writes[:], e.writes[1:])
	e.writes[walkWrites-1] = write
}

// land applies a write to the table.
func (k *walker) land(w *world, i, slot int) {
	e := &w.entries[i]
	write := e.writes[slot]
	e.writes[slot] = walkWrite{}
	claimed := e.do == DoClaim && slot == walkWrites-1
	if write.expects != w.row.version && !k.guards.noCondition {
		if claimed {
			e.landed = 2
		}
		return
	}
	if !Allowed(w.row.state, write.to) {
		k.problem = fmt.Sprintf("move %v to %v: %+v", w.row.state, write.to, *w)
	}
	if claimed {
		e.landed = 1
	}
	w.versions++
	w.row = walkRow{state: write.to, call: write.call, version: w.versions}
	if write.to == StateAbsent {
		w.row = walkRow{}
	}
}

// arrive hands a send to the sidecar.
func (k *walker) arrive(w world, c int8) {
	w.onWay[c] = false
	w.arrived[c] = true
	next, ok := w.fates[c].Send()
	if k.guards.noLapse && w.fates[c] == FateNever || k.guards.noGrantNeeded && w.fates[c] == FateForgotten {
		next, ok = FateRunning, true
	}
	w.fates[c] = next
	if !ok {
		w.refused[c] = true
		k.visit(w)
		return
	}
	if w.row.state != StateClaimed || w.row.call != c {
		k.problem = fmt.Sprintf("sent without a claim: %+v", w)
	}
	k.visit(w)
	w.ran[c] = true
	k.visit(w)
}

// stepSidecar makes what can happen at the sidecar.
func (k *walker) stepSidecar(w world) {
	for c := range int8(walkCalls) {
		if w.onWay[c] {
			k.arrive(w, c)
		}
		k.become(w, c, FatePending, w.fates[c].Lapse())
		if w.ran[c] {
			k.become(w, c, FateRunning, FateDone)
		} else {
			k.become(w, c, FateRunning, FateNever)
		}
		k.become(w, c, FateRunning, FateUnclear)
	}
	if !w.swapped {
		w.swapped = true
		w.fates = [walkCalls]Fate{}
		k.visit(w)
	}
}

func (k *walker) become(w world, c int8, from, to Fate) {
	if w.fates[c] == from {
		w.fates[c] = to
		k.visit(w)
	}
}

// each runs f on a copy of the machine and visits what it leads to.
func (k *walker) each(w world, i int, f func(w *world, m *Machine) Action) {
	a := f(&w, &w.entries[i].machine)
	if w.entries[i].machine.call.Attempt > k.attempts[i] {
		return
	}
	w.act(i, a)
	k.visit(w)
}

// stepEntry makes what can happen at one entry.
func (k *walker) stepEntry(w world, i int) {
	e := &w.entries[i]
	for slot, write := range e.writes {
		if write.on {
			next := w
			k.land(&next, i, slot)
			k.visit(next)
		}
	}
	if e.gone {
		return
	}
	dead := w
	dead.entries[i].gone = true
	dead.entries[i].do = DoNothing
	k.visit(dead)
	if e.duty.Kind != DutyNone {
		k.stepDuty(w, i)
	}
	k.stepTimeUp(w, i)
	k.stepDo(w, i)
}

// stepTimeUp lets the caller leave. What was sent goes on.
func (k *walker) stepTimeUp(w world, i int) {
	e := &w.entries[i]
	before := e.do
	a := e.machine.TimeUp(contract.CodeDeadline, "late")
	if a.Do != DoRefuse {
		return
	}
	w.act(i, a)
	if !e.machine.Over() {
		e.do = before
	}
	k.visit(w)
}

// stepDuty puts the write of a duty on its way.
func (k *walker) stepDuty(w world, i int) {
	e := &w.entries[i]
	row := Row{Version: uint64(w.row.version), Record: Record{State: w.row.state, Call: callOf(w.row.call)}}
	to, ok, _ := e.duty.Apply(row)
	if !ok || e.writes[walkWrites-1].on {
		return
	}
	w.launch(i, walkWrite{on: true, expects: w.row.version, to: to, call: w.row.call})
	k.visit(w)
}

// stepDo answers what the machine asked for, in every way that can happen.
func (k *walker) stepDo(w world, i int) {
	e := w.entries[i]
	mine := indexOf(e.machine.call)
	switch e.do {
	case DoGrant:
		k.each(w, i, func(w *world, m *Machine) Action { w.fates[mine] = FatePending; return m.Granted("s") })
		k.each(w, i, func(_ *world, m *Machine) Action { return m.NotGranted(noGrant) })
	case DoClaim:
		k.stepClaim(w, i)
	case DoRead:
		row := Row{Version: uint64(w.row.version), Record: Record{State: w.row.state, Call: callOf(w.row.call), Witness: "s"}}
		for _, last := range []bool{false, true} {
			k.each(w, i, func(_ *world, m *Machine) Action { m.count(last); return m.Read(row) })
			k.each(w, i, func(_ *world, m *Machine) Action { m.count(last); return m.NotRead() })
		}
	case DoSend:
		k.stepSend(w, i, mine)
	case DoAsk:
		k.stepAsk(w, i, e.about)
	case DoSurvey:
		k.stepSurvey(w, i)
	case DoPause:
		k.each(w, i, func(_ *world, m *Machine) Action { return m.Paused() })
	}
}

func (k *walker) stepSurvey(w world, i int) {
	fates := map[Fate]bool{FateNever: true, FateForgotten: true}
	for _, c := range []int8{0, 1, 2, 3} {
		if int(c)/walkAttempts != i {
			fates[w.fates[c]] = true
		}
	}
	for fate := range fates {
		k.each(w, i, func(_ *world, m *Machine) Action { return m.Surveyed(fate) })
	}
}

// count puts the counters of tries at their start or before their bounds, since
// how often something was tried makes no other difference.
func (m *Machine) count(last bool) {
	if !last {
		return
	}
	m.reads = maxReads - 1
	m.replays = maxAttempts - 1
	if m.forgotten > 0 {
		m.forgotten = maxForgotten - 1
	}
}

func (k *walker) stepClaim(w world, i int) {
	wrote := func(r WriteResult) func(*world, *Machine) Action {
		return func(_ *world, m *Machine) Action { return m.Wrote(r) }
	}
	k.each(w, i, wrote(WriteLost))
	switch w.entries[i].landed {
	case 1:
		k.each(w, i, wrote(WriteDone))
	case 2:
		k.each(w, i, wrote(WriteConflict))
	default:
		w.entries[i].writes[walkWrites-1] = walkWrite{}
		k.each(w, i, wrote(WriteRefused))
	}
}

func (k *walker) stepSend(w world, i int, c int8) {
	called := func(r CallResult) func(*world, *Machine) Action {
		return func(_ *world, m *Machine) Action { return m.Called(r, nil) }
	}
	k.each(w, i, called(CallNoReply))
	fate := w.fates[c]
	switch {
	case w.onWay[c]:
		w.onWay[c] = false
		k.each(w, i, called(CallNotRun))
	case w.refused[c] && (fate == FateNever || fate == FateForgotten):
		k.each(w, i, called(CallNotRun))
	case w.arrived[c] && !w.refused[c] && fate == FateNever:
		k.each(w, i, called(CallNotRun))
	case fate == FateDone:
		k.each(w, i, called(CallAnswered))
	case fate == FateUnclear:
		k.each(w, i, called(CallUnclear))
	}
}

func (k *walker) stepAsk(w world, i int, c int8) {
	fate := w.fates[c]
	if fate == FateForgotten && k.guards.neverWhenForgotten {
		fate = FateNever
	}
	k.each(w, i, func(_ *world, m *Machine) Action { return m.Asked(fate) })
	k.each(w, i, func(_ *world, m *Machine) Action { return m.NotAsked() })
}

// walk visits all states.
func walk(attempts [walkEntries]contract.Attempt, g guards) *walker {
	k := &walker{guards: g, attempts: attempts, seen: make(map[uint64]bool, walkLimit/2), seed: maphash.MakeSeed()}
	var w world
	for i := range w.entries {
		w.entries[i].machine = NewMachine(callOf(int8(i*walkAttempts)), BodyHash{})
		w.act(i, w.entries[i].machine.Start())
	}
	k.visit(w)
	for len(k.queue) > 0 && k.problem == "" {
		next := k.queue[len(k.queue)-1]
		k.queue = k.queue[:len(k.queue)-1]
		k.stepSidecar(next)
		for i := range next.entries {
			k.stepEntry(next, i)
		}
	}
	return k
}

func TestWalk(t *testing.T) {
	attempts := [][walkEntries]contract.Attempt{{1, 1}, {2, 1}}
	if testing.Short() || raceDetector {
		attempts = attempts[:1]
	}
	for _, a := range attempts {
		t.Run(fmt.Sprint(a), func(t *testing.T) {
			t.Parallel()
			k := walk(a, guards{})
			t.Logf("%d states with attempts %v", len(k.seen), a)
			if k.problem != "" {
				t.Error(k.problem)
			}
		})
	}
}

// TestWalkTells takes one guard away at a time.
func TestWalkTells(t *testing.T) {
	cases := map[string]guards{
		"a lapsed grant may still be sent": {noLapse: true},
		"a send needs no grant":            {noGrantNeeded: true},
		"the table ignores versions":       {noCondition: true},
		"a replaced witness says never":    {neverWhenForgotten: true},
	}
	for name, g := range cases {
		t.Run(name, func(t *testing.T) {
			k := walk([walkEntries]contract.Attempt{1, 1}, g)
			t.Logf("%d states until: %.40s", len(k.seen), k.problem)
			if k.problem == "" {
				t.Error("the walk found nothing")
			}
		})
	}
}
