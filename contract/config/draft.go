package config

// Draft is a private configuration to which commands are applied in place. Unlike Apply it
// does not copy the configuration for each command, and a refused command does not keep
// later ones from being applied, so that all faults of a list of commands are found.
type Draft struct {
	snapshot *Snapshot
}

// NewDraft returns a draft that begins as a copy of base.
func NewDraft(base *Snapshot) *Draft {
	return &Draft{snapshot: base.Clone()}
}

// Apply validates and applies a command.
func (d *Draft) Apply(cmd Command) error {
	return cmd.apply(d.snapshot)
}

// Snapshot returns the configuration so far. It changes with the next call of Apply.
func (d *Draft) Snapshot() *Snapshot {
	return d.snapshot
}
