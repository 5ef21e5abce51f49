package api

import (
	"net/http"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/link/operator/wire"
)

// Role is what an operator may do.
type Role uint8

// Roles of operators.
const (
	// RoleRead may ask.
	RoleRead Role = iota + 1
	// RoleWrite may ask and command.
	RoleWrite
)

// ParseRole reads the word of the settings.
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

// Operator is one who may use the API. Keys are known by their hash only.
type Operator struct {
	Name string
	Key  contract.KeyHash
	Role Role
}

// authenticate finds the operator of a request. All keys are compared, each in
// constant time, so that the time taken tells nothing.
func authenticate(operators []Operator, r *http.Request) (who Operator, ok bool) {
	key, bearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !bearer || key == "" {
		return Operator{}, false
	}
	hash := contract.HashKey(key)
	for _, o := range operators {
		if o.Key.Equal(hash) {
			who, ok = o, true
		}
	}
	return who, ok
}

// allow refuses a request whose operator is unknown or may not do it.
func allow(operators []Operator, r *http.Request, need Role) (Operator, *failure) {
	who, ok := authenticate(operators, r)
	if !ok {
		return who, fail(http.StatusUnauthorized, wire.CodeUnauthenticated, "an operator's key is needed in the Authorization header")
	}
	if who.Role < need {
		return who, fail(http.StatusForbidden, wire.CodeForbidden, "this operator's key may ask but not command")
	}
	return who, nil
}
