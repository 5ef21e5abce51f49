package caller

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/contract"
)

// credentialParams are query parameters that carry credentials by custom, in
// lower case with "-" as "_". They never go to a service.
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

// shortestSearched is the shortest key that is searched for in what goes on;
// a shorter one would be found by chance.
const shortestSearched = 8

// bearerKey takes the caller's key from the Authorization header.
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

// stripQuery removes credentials from a query and gives it in canonical form:
// the order of parameters with one name stays, the names are sorted.
func stripQuery(raw string) (string, *contract.Refusal) {
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

// checkKeyStays refuses a request whose key stands anywhere in what would go to
// an upstream.
func checkKeyStays(in *contract.Incoming) *contract.Refusal {
	if len(in.Key) < shortestSearched || !sentOn(in, in.Key) {
		return nil
	}
	return contract.Refuse(contract.CodeMalformed, "the key may stand in the Authorization header only")
}

// sentOn reports whether a text is part of what an upstream would get.
func sentOn(in *contract.Incoming, text string) bool {
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

// unescape decodes URL escapes where they are well-formed.
func unescape(text string) string {
	if plain, err := url.QueryUnescape(text); err == nil {
		return plain
	}
	return text
}
