package config

import (
	"fmt"
	"net/netip"
)

// MaxNameLength bounds every name in the configuration, in bytes.
const MaxNameLength = 128

// checkName refuses names that logs, paths or the language could not carry.
func checkName(kind Kind, name, field, value string) error {
	if value == "" || len(value) > MaxNameLength {
		return &InvalidError{kind, name, field, fmt.Sprintf("must have 1 to %d characters", MaxNameLength)}
	}
	for i, r := range value {
		if !nameRune(r, i == 0) {
			return &InvalidError{kind, name, field, "may have letters, digits and ._-/:@ after a letter or digit"}
		}
	}
	return nil
}

func nameRune(r rune, first bool) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	case first:
		return false
	default:
		return r == '.' || r == '_' || r == '-' || r == '/' || r == ':' || r == '@'
	}
}

// checkAddr refuses anything but an IP number and a port.
func checkAddr(kind Kind, name, field, value string) error {
	addr, err := netip.ParseAddrPort(value)
	if err != nil || addr.Port() == 0 {
		return &InvalidError{kind, name, field, "must be an IP number and a port, such as 10.0.0.7:7100"}
	}
	return nil
}
