package language

import (
	"slices"
	"strings"

	"github.com/trefoilwalk/trefoilwalk/instance/operator"
)

// Usage is the syntax of one command or option, for help and completion. Words in
// capitals are placeholders.
type Usage struct {
	Usage string
	Help  string
	// Fields are the names of the fields that may follow, each with a value.
	Fields []string
}

// Usages returns the syntax of all commands.
func Usages() []Usage {
	account, route, upstream := fieldNames(accountFields), fieldNames(routeFields), fieldNames(upstreamFields)
	return []Usage{
		{"create account NAME", "make a client account; rate and burst are in tokens", account},
		{"set account NAME", "change a client account", account},
		{"delete account NAME", "remove a client account without working keys", nil},
		{"grant key to ACCOUNT label TEXT", "make a key and show it once", nil},
		{"withdraw key HASH", "stop a key everywhere, also for running requests", nil},
		{"delete key HASH", "forget a withdrawn key", nil},
		{"create route NAME", "make a route to a model or a service", route},
		{"set route NAME", "change a route", route},
		{"delete route NAME", "remove a route", nil},
		{"add upstream NAME", "add an upstream, which serves at once", upstream},
		{"set upstream NAME", "change an upstream", upstream},
		{"drain upstream NAME", "give an upstream no new work", nil},
		{"resume upstream NAME", "give a draining upstream work again", nil},
		{"retire upstream NAME", "take a drained upstream out for good", nil},
		{"delete upstream NAME", "forget a retired upstream", nil},
		{"role upstream NAME ROLE", "move an engine to the prefill or decode pool", nil},
		{"load model MODEL on UPSTREAM", "have an engine load a model; version TEXT may come before on", nil},
	}
}

// Options returns the syntax of the options of commands.
func Options() []Usage {
	return []Usage{
		{optionExpect + " REVISION", "change only this revision, else report the conflict", nil},
		{optionDryRun, "check and show the change, and change nothing", nil},
		{optionWait + " DURATION", "return when it is in force everywhere, or name who lags", nil},
	}
}

var queryWords = []string{"where", "order", "limit"}

// nextWords returns the words that may follow the given ones, placeholders
// among them.
func nextWords(before []string) []string {
	if len(before) > 0 && before[0] == "show" {
		before = before[1:]
	}
	if len(before) == 0 {
		return firstWords()
	}
	if columns := operator.ColumnsOf(operator.Subject(before[0])); columns != nil {
		return queryWordsAfter(before, columns)
	}
	return commandWords(before)
}

func firstWords() []string {
	words := []string{"show"}
	for _, subject := range operator.Subjects() {
		words = append(words, string(subject))
	}
	for _, form := range Usages() {
		words = append(words, strings.Fields(form.Usage)[0])
	}
	slices.Sort(words)
	return slices.Compact(words)
}

func queryWordsAfter(before []string, columns []operator.Column) []string {
	switch last := strings.TrimSuffix(before[len(before)-1], ","); {
	case len(before) == 1:
		return queryWords
	case last == "where", last == "and", last == "by":
		var words []string
		for _, c := range columns {
			words = append(words, c.Name)
		}
		return words
	case last == "order":
		return []string{"by"}
	case last == "limit", isComparison(last):
		return nil
	case slices.ContainsFunc(columns, func(c operator.Column) bool { return c.Name == last }):
		if slices.Contains(before, "by") {
			return []string{"asc", "desc", "limit"}
		}
		return []string{"=", "!=", "<", "<=", ">", ">=", "~"}
	default:
		return append([]string{"and"}, queryWords[1:]...)
	}
}

// commandWords returns the words that may follow in the commands whose usage
// matches the words so far.
func commandWords(before []string) []string {
	var words []string
	for _, form := range Usages() {
		usage := strings.Fields(form.Usage)
		switch {
		case len(before) < len(usage) && matchesPrefix(usage, before):
			words = append(words, usage[len(before)])
		case len(before) >= len(usage) && matchesPrefix(before, usage):
			return remainingWords(form, before[len(usage):])
		}
	}
	slices.Sort(words)
	return slices.Compact(words)
}

// matchesPrefix reports whether a line starts with the words of a usage. Words in
// capitals, on either side, match any word.
func matchesPrefix(line, usage []string) bool {
	for i, word := range usage {
		if i >= len(line) {
			return false
		}
		filled := word == strings.ToUpper(word) || line[i] == strings.ToUpper(line[i])
		if !filled && line[i] != word {
			return false
		}
	}
	return true
}

// remainingWords returns the fields and options that are not given yet; nil where
// the value of a field is due. Fields are not accepted after an option.
func remainingWords(form Usage, given []string) []string {
	values := given
	if i := slices.IndexFunc(given, isOption); i >= 0 {
		values = given[:i]
	}
	if len(values)%2 == 1 && len(values) == len(given) {
		return nil
	}
	var remaining []string
	for _, name := range form.Fields {
		if !slices.Contains(given, name) && len(values) == len(given) {
			remaining = append(remaining, name)
		}
	}
	for _, option := range Options() {
		name := strings.Fields(option.Usage)[0]
		if !slices.Contains(given, name) {
			remaining = append(remaining, name)
		}
	}
	return remaining
}

func isOption(word string) bool {
	return strings.HasPrefix(word, "--")
}

func isComparison(word string) bool {
	return slices.Contains([]string{"=", "!=", "<", "<=", ">", ">=", "~"}, word)
}

// Complete returns the last, unfinished word of a line and the words that can
// complete it. After a space, unfinished is empty and words are those that may
// come next.
func Complete(line string) (unfinished string, words []string) {
	before := strings.Fields(line)
	if len(before) > 0 && !strings.HasSuffix(line, " ") {
		unfinished = before[len(before)-1]
		before = before[:len(before)-1]
	}
	for _, word := range nextWords(before) {
		placeholder := word == strings.ToUpper(word) && word != strings.ToLower(word)
		if strings.HasPrefix(word, unfinished) && !placeholder {
			words = append(words, word)
		}
	}
	return unfinished, words
}
