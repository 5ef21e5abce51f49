package roster

import (
	"time"

	"github.com/trefoilwalk/trefoilwalk/link/runner"
)

// SendVerdict tells whether a request may be sent to an upstream now, and if not, why. Its
// text is used in logs and metrics.
type SendVerdict string

// Verdicts of MaySend, MayFetch and CheckReservation.
const (
	SendAllowed SendVerdict = ""
	// SendGone: the upstream is no longer registered. SendRestarted: it started again since
	// it was chosen. SendMoved: its address changed.
	SendGone      SendVerdict = "gone"
	SendRestarted SendVerdict = "restarted"
	SendMoved     SendVerdict = "moved"
	SendLeaving   SendVerdict = "leaving"
	SendPaused    SendVerdict = "paused"
	// SendOtherRole and SendOtherService: it registered with another role or service, or an
	// order to change its role is being carried out.
	SendOtherRole    SendVerdict = "other_role"
	SendOtherService SendVerdict = "other_service"
	// SendEvacuated and SendOutsideHomes: its zone must not get the request any more.
	SendEvacuated    SendVerdict = "evacuated"
	SendOutsideHomes SendVerdict = "outside_homes"
	// SendReservationOld: the reservation was made MaxReservationAge ago or earlier.
	SendReservationOld SendVerdict = "reservation_old"
)

// Allowed reports whether the request may be sent.
func (v SendVerdict) Allowed() bool {
	return v == SendAllowed
}

// MaxReservationAge is the time from a reservation to its send. An upstream may have
// decided to leave just after it made the reservation, and 2 s later, the shortest drain
// time of a deployment, no request may reach it.
const MaxReservationAge = 1800 * time.Millisecond

// CheckReservation decides whether a reservation that was asked for at reservedAt may still
// be used.
func CheckReservation(now, reservedAt time.Time) SendVerdict {
	if now.Sub(reservedAt) >= MaxReservationAge {
		return SendReservationOld
	}
	return SendAllowed
}

// MaySend decides whether a request may be sent to an upstream that was chosen earlier. It
// is asked before every send that runs something. It covers what the upstream or the
// operator stated; a presumption such as a recent failure is left to Choose.
func (b *Board) MaySend(now time.Time, c Choice, need Need) SendVerdict {
	if v := b.MayFetch(c); !v.Allowed() {
		return v
	}
	u := b.upstreams[c.ID]
	switch {
	case u.Service != need.Service:
		return SendOtherService
	case u.Role != need.Role || now.Before(u.roleChangeUntil):
		return SendOtherRole
	case b.isLeaving(u):
		return SendLeaving
	case b.Paused(now, runner.Target{ID: u.ID, Born: u.Born}):
		return SendPaused
	}
	switch b.Exclusion(u.Zone, need) {
	case ReasonEvacuated:
		return SendEvacuated
	case ReasonOutsideHomes:
		return SendOutsideHomes
	}
	return SendAllowed
}

// MayFetch decides whether a KV cache can still be at the engine that computed it. One that
// leaves or asked for a pause keeps its KV caches, and the fetch is no request to it.
func (b *Board) MayFetch(c Choice) SendVerdict {
	u, ok := b.upstreams[c.ID]
	switch {
	case !ok:
		return SendGone
	case u.Born != c.Born:
		return SendRestarted
	case u.Addr != c.Addr:
		return SendMoved
	}
	return SendAllowed
}
