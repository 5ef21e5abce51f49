package main

import "time"

func init() {
	cases["copied-entry"] = playCopiedEntry
}

// Times of one round, from the registration of a new runner on. The runner that left serves for
// lingerFor.
const (
	copyRounds  = 8
	copyRound   = 7 * time.Second
	copyLeaveAt = 800 * time.Millisecond
	copyAt      = 3300 * time.Millisecond
	copyBatchAt = 3700 * time.Millisecond
	lingerFor   = 3200 * time.Millisecond
)

// inventoryPart is the part of the table of runners in which another writer keeps its rows.
const inventoryPart = "inventory"

// playCopiedEntry replaces the runners of the plain service one after the other. With trouble
// another writer keeps copies of the entries in a part of its own and writes them again once in a
// round.
func playCopiedEntry(l *lab, trouble bool) (verdict, error) {
	if err := l.startDeployment(zoneFronts); err != nil {
		return nil, err
	}
	var r results
	var departures []departure
	var calm []time.Time
	for round := range copyRounds {
		began := time.Now()
		if _, err := l.addPlain(); err != nil {
			return nil, err
		}
		l.register(len(l.plains) - 1)
		l.batch(&r, batchLength/2)
		time.Sleep(time.Until(began.Add(copyLeaveAt)))
		departures = append(departures, l.leave(round, lingerFor))
		// No machine and no link is disturbed.
		calm = append(calm, time.Now())
		time.Sleep(time.Until(began.Add(copyAt)))
		if trouble {
			for i := round; i < len(l.plains); i++ {
				p := l.plains[i]
				l.store.putIn("servers", inventoryPart, p.id, p.registration(plainName, zones[i%len(zones)]))
			}
			l.ledger.note("another writer copies the entries of %d runners", len(l.plains)-round)
		}
		time.Sleep(time.Until(began.Add(copyBatchAt)))
		l.batch(&r, batchLength)
		time.Sleep(time.Until(began.Add(copyRound)))
	}
	return l.judgeDrain(&r, departures, calm), nil
}
