package contract

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// pseudonymBytes is the length of a pseudonym before hex encoding.
const pseudonymBytes = 12

// Pseudonym returns the name of a client account that is sent to upstreams. It is
// a truncated HMAC-SHA256: without the fleet's secret it does not reveal the
// account.
func Pseudonym(secret []byte, account AccountID) string {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(account))
	return fmt.Sprintf("%x", mac.Sum(nil)[:pseudonymBytes])
}

// FingerprintOf returns the fingerprint of a request. Parts are its content;
// requests are equal if account, route and all parts are equal.
func FingerprintOf(account AccountID, route RouteName, parts ...string) Fingerprint {
	digest := xxhash.New()
	write := func(s string) {
		_, _ = digest.WriteString(s)
		_, _ = digest.Write([]byte{0})
	}
	write(string(account))
	write(string(route))
	for _, part := range parts {
		write(part)
	}
	return Fingerprint(digest.Sum64())
}
