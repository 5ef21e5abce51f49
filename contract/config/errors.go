package config

import "fmt"

// Kind is a kind of configuration object, as operators name it. Peer.Kind is the
// kind of a process instead.
type Kind string

// Kinds of objects.
const (
	KindAccount  Kind = "account"
	KindKey      Kind = "key"
	KindRoute    Kind = "route"
	KindUpstream Kind = "upstream"
)

// InvalidError means that a command contains an invalid value.
type InvalidError struct {
	Kind  Kind
	Name  string
	Field string
	// Reason states the requirement that the value violates; it follows Field
	// in the message.
	Reason string
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("%s %q: %s %s", e.Kind, e.Name, e.Field, e.Reason)
}

// NotFoundError means that a command names an object that does not exist.
type NotFoundError struct {
	Kind Kind
	Name string
}

// Error implements error.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q does not exist", e.Kind, e.Name)
}

// ExistsError means that a command creates an object that already exists.
type ExistsError struct {
	Kind Kind
	Name string
}

// Error implements error.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("%s %q exists already", e.Kind, e.Name)
}

// StateError means that an object's state does not allow a command.
type StateError struct {
	Kind  Kind
	Name  string
	State string
	// Remedy states what the operator must do first, if anything.
	Remedy string
}

// Error implements error.
func (e *StateError) Error() string {
	return fmt.Sprintf("%s %q is %s: %s", e.Kind, e.Name, e.State, e.Remedy)
}
