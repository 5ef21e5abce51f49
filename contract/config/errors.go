package config

import "fmt"

// Kind names a kind of object in the configuration, in the words of operators.
type Kind string

// Kinds of objects.
const (
	KindAccount  Kind = "account"
	KindKey      Kind = "key"
	KindRoute    Kind = "route"
	KindUpstream Kind = "upstream"
)

// InvalidError means that a command has a value that cannot be taken.
type InvalidError struct {
	Kind  Kind
	Name  string
	Field string
	// Reason says what the value must be.
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

// ExistsError means that a command creates an object that exists.
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
	Kind Kind
	Name string
	// State is the state that the object is in.
	State string
	// Needs says what has to be done first.
	Needs string
}

// Error implements error.
func (e *StateError) Error() string {
	return fmt.Sprintf("%s %q is %s: %s", e.Kind, e.Name, e.State, e.Needs)
}
