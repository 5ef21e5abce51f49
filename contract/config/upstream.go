package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// AddUpstream adds an upstream in state serving. It replaces a retired upstream of
// the same name.
type AddUpstream struct {
	Upstream upstream.Upstream
}

// SetUpstream replaces all values of an existing upstream except its state.
type SetUpstream struct {
	Upstream upstream.Upstream
}

// ChangeState drains, resumes or retires an upstream. Only a draining upstream can
// be retired.
type ChangeState struct {
	ID    upstream.ID
	State upstream.State
}

// ChangeRole moves an engine between the prefill and decode pools.
type ChangeRole struct {
	ID   upstream.ID
	Role upstream.Role
}

// LoadModel adds a model to those that an engine serves. A non-empty Version
// replaces the model's recorded version.
type LoadModel struct {
	ID      upstream.ID
	Model   contract.ModelName
	Version string
}

// DeleteUpstream removes a retired upstream.
type DeleteUpstream struct {
	ID upstream.ID
}

// String implements Command.
func (c AddUpstream) String() string { return "add " + formatUpstream(c.Upstream) }

// String implements Command.
func (c SetUpstream) String() string { return "set " + formatUpstream(c.Upstream) }

// String implements Command.
func (c ChangeState) String() string {
	verbs := map[upstream.State]string{
		upstream.StateServing:  "resume",
		upstream.StateDraining: "drain",
		upstream.StateRetired:  "retire",
	}
	return fmt.Sprintf("%s upstream %s", verbs[c.State], c.ID)
}

// String implements Command.
func (c ChangeRole) String() string { return fmt.Sprintf("role upstream %s %s", c.ID, c.Role) }

// String implements Command.
func (c LoadModel) String() string {
	return fmt.Sprintf("load model %s version %q on upstream %s", c.Model, c.Version, c.ID)
}

// String implements Command.
func (c DeleteUpstream) String() string { return fmt.Sprintf("delete upstream %s", c.ID) }

func formatUpstream(u upstream.Upstream) string {
	var b strings.Builder
	fmt.Fprintf(&b, "upstream %s role %s region %s zone %s address %s", u.ID, u.Role, u.Place.Region, u.Place.Zone, u.SidecarAddr)
	if u.Pool != "" {
		fmt.Fprintf(&b, " service %s", u.Pool)
	}
	for i, model := range u.Models {
		separator := ","
		if i == 0 {
			separator = " models "
		}
		b.WriteString(separator + string(model))
		if version, ok := u.Versions[model]; ok {
			b.WriteString("=" + version)
		}
	}
	return b.String()
}

func (c AddUpstream) apply(s *Snapshot) error {
	old, ok := s.Upstreams[c.Upstream.ID]
	if ok && old.State != upstream.StateRetired {
		return &ExistsError{KindUpstream, string(c.Upstream.ID)}
	}
	next := c.Upstream
	next.State = upstream.StateServing
	return putUpstream(s, next)
}

func (c SetUpstream) apply(s *Snapshot) error {
	old, err := liveUpstream(s, c.Upstream.ID)
	if err != nil {
		return err
	}
	next := c.Upstream
	next.State = old.State
	return putUpstream(s, next)
}

func (c ChangeState) apply(s *Snapshot) error {
	u, err := liveUpstream(s, c.ID)
	if err != nil {
		return err
	}
	if c.State == u.State {
		return &StateError{KindUpstream, string(c.ID), u.State.String(), "nothing is left to do"}
	}
	if c.State == upstream.StateRetired && u.State != upstream.StateDraining {
		return &StateError{KindUpstream, string(c.ID), u.State.String(), "drain it first"}
	}
	u.State = c.State
	s.Upstreams[c.ID] = u
	return nil
}

func (c ChangeRole) apply(s *Snapshot) error {
	u, err := liveUpstream(s, c.ID)
	if err != nil {
		return err
	}
	if u.Role == upstream.RoleService || c.Role == upstream.RoleService {
		return &InvalidError{KindUpstream, string(c.ID), "role", "can only change between prefill and decode"}
	}
	u.Role = c.Role
	return putUpstream(s, u)
}

func (c LoadModel) apply(s *Snapshot) error {
	u, err := liveUpstream(s, c.ID)
	if err != nil {
		return err
	}
	if u.Role == upstream.RoleService {
		return &InvalidError{KindUpstream, string(c.ID), "role", "must be prefill or decode to load a model"}
	}
	if !u.Serves(c.Model) {
		u.Models = append(slices.Clone(u.Models), c.Model)
	}
	if c.Version != "" {
		versions := map[contract.ModelName]string{c.Model: c.Version}
		for model, version := range u.Versions {
			if model != c.Model {
				versions[model] = version
			}
		}
		u.Versions = versions
	}
	return putUpstream(s, u)
}

func (c DeleteUpstream) apply(s *Snapshot) error {
	u, ok := s.Upstreams[c.ID]
	if !ok {
		return &NotFoundError{KindUpstream, string(c.ID)}
	}
	if u.State != upstream.StateRetired {
		return &StateError{KindUpstream, string(c.ID), u.State.String(), "retire it first"}
	}
	delete(s.Upstreams, c.ID)
	return nil
}

// liveUpstream finds an upstream that is not retired.
func liveUpstream(s *Snapshot, id upstream.ID) (upstream.Upstream, error) {
	u, ok := s.Upstreams[id]
	if !ok {
		return u, &NotFoundError{KindUpstream, string(id)}
	}
	if u.State == upstream.StateRetired {
		return u, &StateError{KindUpstream, string(id), "retired", "add it again"}
	}
	return u, nil
}

// putUpstream validates u and stores it in s.
func putUpstream(s *Snapshot, u upstream.Upstream) error {
	if err := checkUpstream(u); err != nil {
		return err
	}
	s.Upstreams[u.ID] = u
	return nil
}

func checkUpstream(u upstream.Upstream) error {
	name := string(u.ID)
	if err := checkName(KindUpstream, name, "name", name); err != nil {
		return err
	}
	if err := checkName(KindUpstream, name, "region", string(u.Place.Region)); err != nil {
		return err
	}
	if err := checkName(KindUpstream, name, "zone", string(u.Place.Zone)); err != nil {
		return err
	}
	if err := checkAddr(KindUpstream, name, "address", u.SidecarAddr); err != nil {
		return err
	}
	switch u.Role {
	case upstream.RoleService:
		return checkServiceUpstream(u)
	case upstream.RolePrefill, upstream.RoleDecode:
		return checkEngine(u)
	default:
		return &InvalidError{KindUpstream, name, "role", "must be prefill, decode or service"}
	}
}

func checkServiceUpstream(u upstream.Upstream) error {
	if len(u.Models) > 0 {
		return &InvalidError{KindUpstream, string(u.ID), "models", "are for engines only"}
	}
	return checkName(KindUpstream, string(u.ID), "service", u.Pool)
}

func checkEngine(u upstream.Upstream) error {
	if u.Pool != "" {
		return &InvalidError{KindUpstream, string(u.ID), "service", "is for plain services only"}
	}
	for _, model := range u.Models {
		if err := checkName(KindUpstream, string(u.ID), "models", string(model)); err != nil {
			return err
		}
	}
	return nil
}

func formatUpstreamWithState(u upstream.Upstream) string {
	return formatUpstream(u) + " state " + u.State.String()
}
