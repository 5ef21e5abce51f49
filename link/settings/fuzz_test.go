package settings

import (
	"errors"
	"testing"
)

// FuzzDecode checks that any text is either accepted or refused with problems, and
// that accepted settings are within the bounds that the processes rely on.
func FuzzDecode(f *testing.F) {
	f.Add(goodEntry)
	f.Add(goodSidecar)
	f.Add(goodGateway)
	f.Add("workers = 99999999999999999999\n[limits]\nbody_bytes = \"9e999MB\"\n")
	f.Add("[[operators]]\n[[operators]]\nname = \"\\u0000\"")
	f.Fuzz(func(t *testing.T, text string) {
		entry, err := DecodeEntry("entry.toml", text)
		checkReport(t, err)
		if err == nil && (entry.Workers < 1 || entry.Limits.BodyBytes.Bytes < 1 || entry.Limits.BodyTimeout.Duration <= 0) {
			t.Errorf("accepted %+v", entry)
		}
		sidecar, err := DecodeSidecar("sidecar.toml", text)
		checkReport(t, err)
		if err == nil && (sidecar.Upstream.Slots < 1 || sidecar.Leases.Grant.Duration <= 0) {
			t.Errorf("accepted %+v", sidecar)
		}
		gateway, err := DecodeGateway("gateway.toml", text)
		checkReport(t, err)
		if err == nil && (gateway.Workers < 1 || gateway.Memory.Bytes < 1 || gateway.Quota.Window.Duration <= 0) {
			t.Errorf("accepted %+v", gateway)
		}
	})
}

func checkReport(t *testing.T, err error) {
	var report *Error
	if err != nil && (!errors.As(err, &report) || len(report.Problems) == 0) {
		t.Errorf("error without problems: %v", err)
	}
}
