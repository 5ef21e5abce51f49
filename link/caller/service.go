package caller

import (
	"net/http"
	"net/url"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// longestIdempotencyKey is the most bytes of an Idempotency-Key.
const longestIdempotencyKey = 255

// idempotencyKey takes the caller's Idempotency-Key.
func idempotencyKey(header http.Header) (string, *contract.Refusal) {
	values := header.Values("Idempotency-Key")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", malformed("more than one Idempotency-Key header")
	}
	key := values[0]
	if key == "" || len(key) > longestIdempotencyKey || !visibleASCII(key) {
		return "", malformed("Idempotency-Key must be 1 to %d visible characters of ASCII", longestIdempotencyKey)
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

// decodeCall takes from a request what a service may see: method, path, query
// without credentials, Content-Type and body. No other header goes on. The path
// is escaped anew from its plain form, so that routes are matched against the
// path that the service sees.
func decodeCall(r *http.Request, body []byte) (*contract.ServiceCall, *contract.Refusal) {
	query, refusal := stripQuery(r.URL.RawQuery)
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
