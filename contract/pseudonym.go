package contract

import (
	"crypto/hmac"
	"crypto/sha256"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// pseudonymBytes is the length of a pseudonym before it is written in hex.
const pseudonymBytes = 12

// Pseudonym gives the name by which upstreams know a client account. Without
// the fleet's secret it cannot be led back to the account.
func Pseudonym(secret []byte, account AccountID) string {
	mac := hmac.New(sha256.New, secret)
	_, _ = mac.Write([]byte(account))
	return fmt.Sprintf("%x", mac.Sum(nil)[:pseudonymBytes])
}

// FingerprintOf hashes what makes two requests the same.
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
