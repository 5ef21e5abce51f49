package caller

import (
	"net/http"
	"net/url"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// maxIdempotencyKeyBytes is the greatest length of an Idempotency-Key.
const maxIdempotencyKeyBytes = 255

// idempotencyKey returns the Idempotency-Key header, "" without the header.
func idempotencyKey(header http.Header) (string, *contract.Refusal) {
	values := header.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", malformed("more than one Idempotency-Key header")
	}
	key := values[0]
	if key == "" || len(key) > maxIdempotencyKeyBytes || !visibleASCII(key) {
		return "", malformed("Idempotency-Key must be 1 to %d visible characters of ASCII", maxIdempotencyKeyBytes)
	}
	return key, nil
}

func visibleASCII(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// decodeCall builds the call to a service from the method, path, query without
// credentials, Content-Type and body. No other header is forwarded. The path is
// escaped again from its decoded form, so that routes are matched against the path
// that the service receives.
func decodeCall(r *http.Request, body []byte) (*contract.ServiceCall, *contract.Refusal) {
	query, refusal := removeCredentials(r.URL.RawQuery)
	if refusal != nil {
		return nil, refusal
	}
	plain := url.URL{Path: r.URL.Path}
	return &contract.ServiceCall{
		Method:      r.Method,
		Path:        plain.EscapedPath(),
		Query:       query,
		ContentType: r.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}
