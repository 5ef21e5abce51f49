package api

import (
	"net/http"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
)

// Role is the permission of an operator; a higher role includes the lower ones.
type Role uint8

// Roles of operators.
const (
	// RoleRead permits queries and metrics.
	RoleRead Role = iota + 1
	// RoleWrite permits commands too.
	RoleWrite
)

// ParseRole parses a role as the settings file writes it.
func ParseRole(word string) (role Role, ok bool) {
	switch word {
	case "read":
		return RoleRead, true
	case "write":
		return RoleWrite, true
	default:
		return 0, false
	}
}

// Operator is a user of the API. Only the hash of the key is stored.
type Operator struct {
	Name string
	Key  contract.KeyHash
	Role Role
}

// authenticate returns the operator whose key the request carries. All keys are
// compared, each in constant time, so that the duration reveals nothing about
// the keys.
func authenticate(operators []Operator, r *http.Request) (found Operator, ok bool) {
	key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bearer || key == "" {
		return Operator{}, false
	}
	hash := contract.HashKey(key)
	for _, o := range operators {
		if o.Key.Equal(hash) {
			found, ok = o, true
		}
	}
	return found, ok
}

// authorize returns the operator of a request, or a failure if the key is
// unknown or its role is below the required one.
func authorize(operators []Operator, r *http.Request, required Role) (Operator, *failure) {
	found, ok := authenticate(operators, r)
	if !ok {
		return found, newFailure(http.StatusUnauthorized, wire.CodeUnauthenticated, "the Authorization header must hold an operator's key as a bearer token")
	}
	if found.Role < required {
		return found, newFailure(http.StatusForbidden, wire.CodeForbidden, "this operator's key has the role read, but the role write is required")
	}
	return found, nil
}
