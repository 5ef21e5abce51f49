package operator

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/clock"
)

// Deadlines of the operators' calls.
const (
	// AskTimeout bounds a question to the fleet.
	AskTimeout = 2 * time.Second
	// AcceptTimeout bounds the attempts to have a change accepted.
	AcceptTimeout = 15 * time.Second
	// WaitInterval is the time between two looks at who has a revision.
	WaitInterval = 250 * time.Millisecond
	// MaxWait bounds how long a command waits to be in force everywhere.
	MaxWait = time.Minute
)

// Options go with a change.
type Options struct {
	// Expect is the revision that the operator has seen; nil means any.
	Expect *contract.Revision
	// DryRun checks the change and changes nothing.
	DryRun bool
	// Wait is how long to wait until the change is in force everywhere; 0
	// returns as soon as it is accepted.
	Wait time.Duration
}

// Outcome is what became of a change.
type Outcome struct {
	// Revision is the one made, or the one that would be made by a dry run.
	Revision    contract.Revision
	DryRun      bool
	Command     string
	Differences []config.Difference
	// GrantedKeys are new keys in clear, shown this once.
	GrantedKeys []string
	// InForce says that every instance has the revision; Lagging names those
	// that do not, or did not answer, when the wait ended.
	InForce bool
	Lagging []Silent
	// Took is the time from acceptance until it was in force everywhere.
	Took time.Duration
}

// Service does what operators ask for.
type Service struct {
	store config.Store
	node  Node
	fleet Fleet
	clock clock.Clock
}

// NewService returns a service of the instance node.
func NewService(store config.Store, node Node, fleet Fleet, c clock.Clock) *Service {
	return &Service{store: store, node: node, fleet: fleet, clock: c}
}

// Query answers a query.
func (s *Service) Query(ctx context.Context, q Query) (*Table, error) {
	snapshot := s.node.Snapshot()
	switch q.Subject {
	case Accounts:
		return tabulate(q, accountColumns, accountRows(snapshot)), nil
	case Keys:
		return tabulate(q, keyColumns, values(snapshot.Keys)), nil
	case Routes:
		return tabulate(q, routeColumns, values(snapshot.Routes)), nil
	case Revisions:
		return s.revisions(ctx, q)
	case Requests, Rates, Instances, Upstreams, Zones:
		return s.ask(ctx, q, snapshot), nil
	default:
		return nil, fmt.Errorf("operator: no subject %q", q.Subject)
	}
}

// ask answers a query about the running fleet.
func (s *Service) ask(ctx context.Context, q Query, snapshot *config.Snapshot) *Table {
	ctx, cancel := context.WithTimeout(ctx, AskTimeout)
	defer cancel()
	question := Question{Requests: q.Subject == Requests, Rates: q.Subject == Rates, Loads: q.Subject == Upstreams}
	answers, silent := s.fleet.Ask(ctx, question)
	var t *Table
	switch q.Subject {
	case Requests:
		t = tabulate(q, requestColumns, requestsOf(answers))
	case Rates:
		t = tabulate(q, rateColumns, ratesOf(answers))
	case Instances:
		t = tabulate(q, instanceColumns, instancesOf(answers))
	case Upstreams:
		t = tabulate(q, upstreamColumns, upstreamRows(snapshot, loadsOf(answers)))
	default:
		t = tabulate(q, zoneColumns, zoneRows(snapshot, instancesOf(answers)))
	}
	t.Silent = silent
	return t
}

// Revisions that are read from the audit trail.
const (
	// DefaultAuditLines are read when no limit is given.
	DefaultAuditLines = 100
	// SearchedAuditLines are searched when there are conditions.
	SearchedAuditLines = 5000
)

// revisions reads the newest lines of the audit trail.
func (s *Service) revisions(ctx context.Context, q Query) (*Table, error) {
	lines := cmp.Or(q.Limit, DefaultAuditLines)
	if len(q.Where) > 0 || len(q.OrderBy) > 0 {
		lines = SearchedAuditLines
	}
	changes, err := s.store.Audit(ctx, 0, lines)
	if err != nil {
		return nil, fmt.Errorf("operator: reading the audit trail: %w", err)
	}
	if len(q.OrderBy) == 0 {
		q.OrderBy = []Order{{Column: "revision", Descending: true}}
	}
	return tabulate(q, revisionColumns, changes), nil
}

// Change has a change accepted. All the changes given become one revision. Who
// calls may go away: once the store was asked, the attempt is completed.
func (s *Service) Change(ctx context.Context, by string, changes []Change, o Options) (*Outcome, error) {
	accept, cancel := context.WithTimeout(context.WithoutCancel(ctx), AcceptTimeout)
	defer cancel()
	base, err := s.base(accept, o)
	if err != nil {
		return nil, err
	}
	cmd, keys, err := resolveAll(base, changes)
	if err != nil {
		return nil, err
	}
	at := s.clock.Now().UTC()
	next, err := config.Apply(base, cmd, by, at)
	if err != nil {
		return nil, err
	}
	outcome := &Outcome{Revision: next.Revision, DryRun: o.DryRun, Command: cmd.String(), Differences: config.Diff(base, next)}
	if o.DryRun {
		return outcome, nil
	}
	change := config.Change{Revision: next.Revision, By: by, At: at, Command: cmd}
	if err := s.store.Accept(accept, base, change); err != nil {
		return nil, err
	}
	s.node.Offer(config.Loaded{Snapshot: next, Changes: []config.Change{change}})
	outcome.GrantedKeys = keys
	if o.Wait > 0 {
		s.wait(ctx, outcome, min(o.Wait, MaxWait))
	}
	return outcome, nil
}

// base gives the configuration that a change is made on. It is read from the
// store, since this instance may be a little behind it.
func (s *Service) base(ctx context.Context, o Options) (*config.Snapshot, error) {
	have := s.node.Snapshot()
	loaded, err := s.store.Load(ctx, have)
	switch {
	case err == nil:
		s.node.Offer(loaded)
	case o.DryRun:
		loaded.Snapshot = have
	default:
		return nil, fmt.Errorf("%w: %w", config.ErrNotAccepted, err)
	}
	base := loaded.Snapshot
	if o.Expect != nil && *o.Expect != base.Revision {
		return nil, &config.ConflictError{Expected: *o.Expect, Winner: base.Revision, By: base.ChangedBy, At: base.ChangedAt}
	}
	return base, nil
}

// resolveAll makes one command of the changes, each on top of those before it.
func resolveAll(base *config.Snapshot, changes []Change) (config.Command, []string, error) {
	var commands []config.Command
	var keys []string
	current := base
	for _, change := range changes {
		if grant, ok := change.(GrantKey); ok {
			key := newKey()
			keys = append(keys, key)
			change = Direct{grant.command(key)}
		}
		cmd, err := change.resolve(current)
		if err != nil {
			return nil, nil, err
		}
		commands = append(commands, cmd)
		if len(changes) == 1 {
			return cmd, keys, nil
		}
		if current, err = config.Apply(current, cmd, "", time.Time{}); err != nil {
			return nil, nil, err
		}
	}
	return config.Batch{Commands: commands}, keys, nil
}

// wait asks the fleet until every instance has the revision or the time is up.
func (s *Service) wait(ctx context.Context, o *Outcome, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	accepted := s.clock.Now()
	for {
		o.Lagging = s.lagging(ctx, o.Revision)
		if len(o.Lagging) == 0 {
			o.InForce = true
			o.Took = s.clock.Now().Sub(accepted)
			return
		}
		if !s.pause(ctx, WaitInterval) {
			return
		}
	}
}

// lagging names the instances that have a lower revision or did not answer.
func (s *Service) lagging(ctx context.Context, revision contract.Revision) []Silent {
	// The last question of a wait is asked in full, so that it can tell who
	// lags from who is merely slow.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), AskTimeout)
	defer cancel()
	answers, lagging := s.fleet.Ask(ctx, Question{})
	for _, a := range answers {
		if a.Instance.Revision < revision {
			reason := fmt.Sprintf("has revision %d", a.Instance.Revision)
			lagging = append(lagging, Silent{Instance: a.Instance.Name, Reason: reason})
		}
	}
	return lagging
}

// pause waits by the injected clock; it reports false when ctx ends first.
func (s *Service) pause(ctx context.Context, d time.Duration) bool {
	done := make(chan struct{})
	timer := s.clock.AfterFunc(d, func() { close(done) })
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

func values[K comparable, V any](rows map[K]V) []V {
	all := make([]V, 0, len(rows))
	for _, row := range rows {
		all = append(all, row)
	}
	return all
}
