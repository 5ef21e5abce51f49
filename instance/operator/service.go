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

// Timeouts and intervals of operator calls.
const (
	// FleetQueryTimeout is the time limit of one query to the fleet.
	FleetQueryTimeout = 2 * time.Second
	// AcceptTimeout is the time limit for reading the current configuration and
	// having a change accepted, including the store's retries.
	AcceptTimeout = 15 * time.Second
	// InForcePollEvery is the pause between two queries for the instances that lack a
	// revision.
	InForcePollEvery = 250 * time.Millisecond
	// MaxInForceWait is the upper limit of Options.Wait.
	MaxInForceWait = time.Minute
)

// Options control how a change is carried out.
type Options struct {
	// Expect is the revision that the change must be based on; with another
	// current revision it fails with config.ConflictError. Nil means any.
	Expect *contract.Revision
	// DryRun validates the change and returns its outcome without storing it.
	DryRun bool
	// Wait is the maximum time to wait until the change is in force at every
	// instance; 0 returns as soon as the store has accepted it.
	Wait time.Duration
}

// Outcome is the result of a change that was accepted or checked in a dry run.
type Outcome struct {
	// Revision is the new revision; in a dry run, the one that the change would
	// create.
	Revision    contract.Revision
	DryRun      bool
	Command     string
	Differences []config.Difference
	// GrantedKeys are the new keys in clear text, in the order of the changes.
	// They are not stored and cannot be retrieved later. Nil in a dry run.
	GrantedKeys []string
	// InForce is true if every instance had the revision before the wait ended.
	// Otherwise NotInForce lists those that did not have it or did not answer. Both
	// are unset if Options.Wait is 0.
	InForce    bool
	NotInForce []MissingInstance
	// InForceAfter is the time from acceptance until InForce became true.
	InForceAfter time.Duration
}

// Service carries out queries and changes of operators. It is safe for concurrent
// use if the objects given to NewService are.
type Service struct {
	store config.Store
	node  Node
	fleet Fleet
	clock clock.Clock
}

// NewService returns a service that runs on the given node and uses c for pauses and
// for the times of changes.
func NewService(store config.Store, node Node, fleet Fleet, c clock.Clock) *Service {
	return &Service{store: store, node: node, fleet: fleet, clock: c}
}

// Query returns the rows that the query selects. When instances do not answer, the
// rest of the rows is returned and Table.Missing lists them. Errors are those of the
// store, or an unknown subject.
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
		return s.queryRevisions(ctx, q)
	case Requests, Rates, Instances, Upstreams, Zones:
		return s.queryFleet(ctx, q, snapshot), nil
	default:
		return nil, fmt.Errorf("operator: unknown subject %q", q.Subject)
	}
}

// queryFleet answers a query that needs answers of the running instances.
func (s *Service) queryFleet(ctx context.Context, q Query, snapshot *config.Snapshot) *Table {
	ctx, cancel := context.WithTimeout(ctx, FleetQueryTimeout)
	defer cancel()
	question := Question{Requests: q.Subject == Requests, Rates: q.Subject == Rates, Loads: q.Subject == Upstreams}
	answers, missing := s.fleet.QueryAll(ctx, question)
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
	t.Missing = missing
	return t
}

// Numbers of audit trail entries that a query of revisions reads.
const (
	// DefaultAuditEntries applies to a query without a limit.
	DefaultAuditEntries = 100
	// MaxAuditSearchEntries applies to a query with conditions or a sort key, which
	// takes effect on these newest entries only.
	MaxAuditSearchEntries = 5000
)

// queryRevisions answers a query from the newest entries of the audit trail. The
// default order is newest first.
func (s *Service) queryRevisions(ctx context.Context, q Query) (*Table, error) {
	lines := cmp.Or(q.Limit, DefaultAuditEntries)
	if len(q.Where) > 0 || len(q.OrderBy) > 0 {
		lines = MaxAuditSearchEntries
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

// Change submits the changes to the store as one revision, with by as its author.
// Canceling ctx does not interrupt an attempt, so a caller that disconnects does not
// leave it half done; it ends only the wait for the change to be in force. An invalid
// change fails with AmbiguousError or an error of config.Apply; any other error wraps
// config.ConflictError, config.ErrNotAccepted or config.ErrOutcomeUnknown.
func (s *Service) Change(ctx context.Context, by string, changes []Change, o Options) (*Outcome, error) {
	acceptCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), AcceptTimeout)
	defer cancel()
	base, err := s.loadBase(acceptCtx, o)
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
	if err := s.store.Commit(acceptCtx, base, change); err != nil {
		return nil, err
	}
	s.node.Offer(config.Loaded{Snapshot: next, Changes: []config.Change{change}})
	outcome.GrantedKeys = keys
	if o.Wait > 0 {
		s.waitInForce(ctx, outcome, min(o.Wait, MaxInForceWait))
	}
	return outcome, nil
}

// loadBase returns the configuration that a change is applied to. It reads the store,
// because this instance may lag behind it. A dry run falls back to the configuration
// in force at this instance when the store cannot be read.
func (s *Service) loadBase(ctx context.Context, o Options) (*config.Snapshot, error) {
	local := s.node.Snapshot()
	loaded, err := s.store.Load(ctx, local)
	switch {
	case err == nil:
		s.node.Offer(loaded)
	case o.DryRun:
		loaded.Snapshot = local
	default:
		return nil, fmt.Errorf("%w: %w", config.ErrNotAccepted, err)
	}
	base := loaded.Snapshot
	if o.Expect != nil && *o.Expect != base.Revision {
		return nil, &config.ConflictError{Expected: *o.Expect, Winner: base.Revision, By: base.ChangedBy, At: base.ChangedAt}
	}
	return base, nil
}

// resolveAll combines the changes into one command, a batch unless there is exactly
// one change, and returns the keys that it generated. Each change is resolved
// against the configuration that results from those before it.
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

// waitInForce queries the fleet until every instance has the revision or limit has
// passed, and sets InForce, NotInForce and InForceAfter. The last query may exceed
// limit by FleetQueryTimeout.
func (s *Service) waitInForce(ctx context.Context, o *Outcome, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	accepted := s.clock.Now()
	for {
		o.NotInForce = s.notInForce(ctx, o.Revision)
		if len(o.NotInForce) == 0 {
			o.InForce = true
			o.InForceAfter = s.clock.Now().Sub(accepted)
			return
		}
		if !s.pause(ctx, InForcePollEvery) {
			return
		}
	}
}

// notInForce returns the instances that have a lower revision or did not answer.
func (s *Service) notInForce(ctx context.Context, revision contract.Revision) []MissingInstance {
	// The query gets its full timeout even if the wait ends before, so that an
	// instance that is only slow to answer is not reported in NotInForce.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), FleetQueryTimeout)
	defer cancel()
	answers, notInForce := s.fleet.QueryAll(ctx, Question{})
	for _, a := range answers {
		if a.Instance.Revision < revision {
			reason := fmt.Sprintf("has revision %d", a.Instance.Revision)
			notInForce = append(notInForce, MissingInstance{Instance: a.Instance.Name, Reason: reason})
		}
	}
	return notInForce
}

// pause blocks for d on the service's clock and returns false if ctx ends first.
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

// values returns the values of a map in no particular order.
func values[K comparable, V any](rows map[K]V) []V {
	all := make([]V, 0, len(rows))
	for _, row := range rows {
		all = append(all, row)
	}
	return all
}
