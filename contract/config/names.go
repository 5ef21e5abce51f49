package config

import (
	"fmt"
	"net/netip"
)

// MaxNameLength bounds every name in the configuration, in bytes.
const MaxNameLength = 128

// checkName rejects names that need quoting in logs, paths or operators' commands.
// name identifies the object, value is the name to check.
func checkName(kind Kind, name, field, value string) error {
	if value == "" || len(value) > MaxNameLength {
		return &InvalidError{kind, name, field, fmt.Sprintf("must be 1 to %d bytes long", MaxNameLength)}
	}
	for i, r := range value {
		if !isNameRune(r, i == 0) {
			return &InvalidError{kind, name, field, "must start with a letter or digit and contain only letters, digits and ._-/:@"}
		}
	}
	return nil
}

func isNameRune(r rune, first bool) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	case first:
		return false
	default:
		return r == '.' || r == '_' || r == '-' || r == '/' || r == ':' || r == '@'
	}
}

// checkAddr rejects anything but an IP address and a port other than 0.
func checkAddr(kind Kind, name, field, value string) error {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		return &InvalidError{kind, name, field, "must be an IP address and a port, such as 10.0.0.7:7100"}
	}
	return nil
}
