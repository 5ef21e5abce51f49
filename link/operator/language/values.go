package language

import (
	"fmt"
	"strconv"
	"time"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/upstream"
	"github.com/trefoilwalk/trefoilwalk/zone"
)

// settableField is a field of an object that commands can set. P is the patch type.
type settableField[P any] struct {
	name string
	// list is true for fields that take several words, separated by commas.
	list bool
	// set parses the words into the patch; the error is the phrase for what is
	// accepted, used after "expected".
	set func(patch *P, words []string) error
}

func fieldNames[P any](values []settableField[P]) []string {
	all := make([]string, 0, len(values))
	for _, v := range values {
		all = append(all, v.name)
	}
	return all
}

var accountFields = []settableField[operator.AccountPatch]{
	single("rate", func(p *operator.AccountPatch) **contract.Tokens { return &p.Rate }, parseTokens),
	single("burst", func(p *operator.AccountPatch) **contract.Tokens { return &p.Burst }, parseTokens),
	single("weight", func(p *operator.AccountPatch) **int { return &p.Weight }, parseInt),
}

var routeFields = []settableField[operator.RoutePatch]{
	single("model", func(p *operator.RoutePatch) **contract.ModelName { return &p.Model }, parseText[contract.ModelName]),
	single("service", func(p *operator.RoutePatch) **string { return &p.Service }, parseText[string]),
	single("path", func(p *operator.RoutePatch) **string { return &p.Path }, parseText[string]),
	single("open", func(p *operator.RoutePatch) **bool { return &p.Open }, parseBool),
	single("repeatable", func(p *operator.RoutePatch) **bool { return &p.Repeatable }, parseBool),
	// Requests of a patient route wait for capacity up to their timeout, even if the
	// first token then misses its target.
	single("patient", func(p *operator.RoutePatch) **bool { return &p.Patient }, parseBool),
	single("timeout", func(p *operator.RoutePatch) **time.Duration { return &p.Timeout }, parseDuration),
	single("first_token", func(p *operator.RoutePatch) **time.Duration { return &p.FirstToken }, parseDuration),
	single("between_tokens", func(p *operator.RoutePatch) **time.Duration { return &p.BetweenTokens }, parseDuration),
	single("cost", func(p *operator.RoutePatch) **contract.Tokens { return &p.Cost }, parseTokens),
}

var upstreamFields = []settableField[operator.UpstreamPatch]{
	single("role", func(p *operator.UpstreamPatch) **upstream.Role { return &p.Role }, parseRole),
	single("region", func(p *operator.UpstreamPatch) **zone.Region { return &p.Region }, parseText[zone.Region]),
	single("zone", func(p *operator.UpstreamPatch) **zone.AvailabilityZone { return &p.Zone }, parseText[zone.AvailabilityZone]),
	single("address", func(p *operator.UpstreamPatch) **string { return &p.Address }, parseText[string]),
	single("service", func(p *operator.UpstreamPatch) **string { return &p.Service }, parseText[string]),
	{name: "models", list: true, set: setModels},
}

// single returns a field that takes one word.
func single[P, V any](name string, field func(*P) **V, parse func(string) (V, error)) settableField[P] {
	set := func(patch *P, words []string) error {
		v, err := parse(words[0])
		if err != nil {
			return err
		}
		*field(patch) = &v
		return nil
	}
	return settableField[P]{name: name, set: set}
}

func setModels(p *operator.UpstreamPatch, words []string) error {
	models := make([]contract.ModelName, 0, len(words))
	for _, word := range words {
		models = append(models, contract.ModelName(word))
	}
	p.Models = &models
	return nil
}

func parseText[S ~string](word string) (S, error) {
	return S(word), nil
}

func parseTokens(word string) (contract.Tokens, error) {
	n, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("a whole number of tokens, such as 2000")
	}
	return contract.Tokens(n), nil
}

func parseInt(word string) (int, error) {
	n, err := strconv.Atoi(word)
	if err != nil {
		return 0, fmt.Errorf("a whole number, such as 2")
	}
	return n, nil
}

func parseBool(word string) (bool, error) {
	switch word {
	case "true":
		return true, nil
	case "false":
		return false, nil
	default:
		return false, fmt.Errorf("true or false")
	}
}

func parseDuration(word string) (time.Duration, error) {
	d, err := time.ParseDuration(word)
	if err != nil {
		return 0, fmt.Errorf("a duration with its unit, such as 380ms or 2m")
	}
	return d, nil
}

func parseRole(word string) (upstream.Role, error) {
	role, ok := upstream.ParseRole(word)
	if !ok {
		return 0, fmt.Errorf("prefill, decode or service")
	}
	return role, nil
}

// patchOf parses the fields of a command. A field that is given twice is an
// error.
func patchOf[P any](known []settableField[P], nodes []*valueNode) (patch P, err error) {
	seen := make(map[string]bool)
	for _, node := range nodes {
		if err := setValue(&patch, known, node); err != nil {
			return patch, err
		}
		if seen[node.Name.Text] {
			return patch, errorAt(node.Name.Pos, "", "%s is given twice", node.Name.Text)
		}
		seen[node.Name.Text] = true
	}
	return patch, nil
}

func setValue[P any](patch *P, known []settableField[P], node *valueNode) error {
	words := make([]string, 0, len(node.Value))
	for _, word := range node.Value {
		words = append(words, word.Text)
	}
	for _, v := range known {
		if v.name != node.Name.Text {
			continue
		}
		if len(words) > 1 && !v.list {
			return errorAt(node.Value[1].Pos, "", "%s takes one value", v.name)
		}
		if err := v.set(patch, words); err != nil {
			return errorAt(node.Value[0].Pos, "expected "+err.Error(), "%s cannot be %q", v.name, words[0])
		}
		return nil
	}
	return errorAt(node.Name.Pos, suggest(node.Name.Text, fieldNames(known)), "there is no value %q here", node.Name.Text)
}
