package caller

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// credentialParams are the query parameters that carry credentials by convention,
// in lower case and with "_" for "-". They are never sent to a service.
var credentialParams = map[string]bool{
	"key":           true,
	"api_key":       true,
	"apikey":        true,
	"x_api_key":     true,
	"access_key":    true,
	"access_token":  true,
	"auth_token":    true,
	"bearer_token":  true,
	"token":         true,
	"authorization": true,
}

// minSearchedKeyBytes is the shortest key that is searched for in forwarded data. A
// shorter one would match by chance.
const minSearchedKeyBytes = 8

// bearerKey returns the caller's key from the Authorization header, "" without the
// header.
func bearerKey(header http.Header) (string, *contract.Refusal) {
	values := header.Values("Authorization")
	if len(values) == 0 {
		return "", nil
	}
	if len(values) > 1 {
		return "", contract.Refuse(contract.CodeMalformed, "more than one Authorization header")
	}
	scheme, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", contract.Refuse(contract.CodeKeyMissing, "the Authorization header must be: Bearer KEY")
	}
	return key, nil
}

// removeCredentials removes credentials from a query and returns it in canonical form,
// sorted by name. Values of the same name keep their order.
func removeCredentials(raw string) (string, *contract.Refusal) {
	values, err := url.ParseQuery(raw)
	if err != nil {
		return "", contract.Refuse(contract.CodeMalformed, "the query is malformed")
	}
	for name := range values {
		if credentialParams[strings.ReplaceAll(strings.ToLower(name), "-", "_")] {
			delete(values, name)
		}
	}
	return values.Encode(), nil
}

// checkKeyNotForwarded refuses a request that contains its key in any part that
// would be sent to an upstream.
func checkKeyNotForwarded(in *contract.Incoming) *contract.Refusal {
	if len(in.Key) < minSearchedKeyBytes || !forwardedContains(in, in.Key) {
		return nil
	}
	return contract.Refuse(contract.CodeMalformed, "the key may stand in the Authorization header only")
}

// forwardedContains reports whether what an upstream would receive contains a text,
// as it is or URL-escaped.
func forwardedContains(in *contract.Incoming, text string) bool {
	if g := in.Generate; g != nil {
		return strings.Contains(g.Prompt, text) || strings.Contains(string(g.Model), text)
	}
	call := in.Call
	for _, part := range []string{call.Method, call.ContentType, call.Path, call.Query} {
		if strings.Contains(part, text) || strings.Contains(unescape(part), text) {
			return true
		}
	}
	body := string(call.Body)
	return strings.Contains(body, text) || strings.Contains(unescape(body), text)
}

// unescape decodes URL escapes; a text with malformed ones is returned unchanged.
func unescape(text string) string {
	if plain, err := url.QueryUnescape(text); err == nil {
		return plain
	}
	return text
}
