package language

import (
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2/lexer"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/instance/operator"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// Statement is a parsed line. Exactly one of Query and Change is set.
type Statement struct {
	Query  *operator.Query
	Change operator.Change
	// Options apply to Change.
	Options operator.Options
}

// Names of options.
const (
	optionExpect = "--expect"
	optionDryRun = "--dry-run"
	optionWait   = "--wait"
)

// IsBlank reports whether a line holds only spaces or a comment.
func IsBlank(line string) bool {
	trimmed := strings.TrimSpace(line)
	return trimmed == "" || strings.HasPrefix(trimmed, "#")
}

// Parse parses one line. An error is always an *Error.
func Parse(line string) (Statement, error) {
	if len(line) > MaxLength {
		return Statement{}, &Error{Column: MaxLength, Message: "the statement is too long", Hint: "at most 16 KiB"}
	}
	if !utf8.ValidString(line) {
		return Statement{}, &Error{Column: 1, Message: "the statement is not valid UTF-8"}
	}
	node, err := parser.ParseString("", line)
	if err != nil {
		return Statement{}, convertParserError(line, err)
	}
	if node.Query != nil {
		query, err := node.Query.query()
		return Statement{Query: query}, err
	}
	change, err := node.Command.change()
	if err != nil {
		return Statement{}, err
	}
	options, err := optionsOf(node.Command.Options)
	return Statement{Change: change, Options: options}, err
}

func (n *queryNode) query() (*operator.Query, error) {
	q := &operator.Query{Subject: operator.Subject(n.Subject)}
	columns := operator.ColumnsOf(q.Subject)
	for _, node := range n.Where {
		condition, err := node.condition(columns)
		if err != nil {
			return nil, err
		}
		q.Where = append(q.Where, condition)
	}
	for _, node := range n.OrderBy {
		if _, err := findColumn(columns, node.Column); err != nil {
			return nil, err
		}
		q.OrderBy = append(q.OrderBy, operator.Order{Column: node.Column.Text, Descending: node.Descending})
	}
	if n.Limit == nil {
		return q, nil
	}
	limit, err := strconv.Atoi(n.Limit.Text)
	if err != nil || limit < 1 {
		return nil, errorAt(n.Limit.Pos, "expected a whole number above 0", "limit cannot be %q", n.Limit.Text)
	}
	q.Limit = limit
	return q, nil
}

func (n *conditionNode) condition(columns []operator.Column) (operator.Condition, error) {
	column, err := findColumn(columns, n.Column)
	if err != nil {
		return operator.Condition{}, err
	}
	compareAs := column.Type
	// operator.Operator is a comparison sign, not a user.
	if operator.Operator(n.Operator) == operator.Contains {
		compareAs = operator.Text
	}
	v, ok := operator.ParseValue(compareAs, n.Value.Text)
	if !ok {
		return operator.Condition{}, errorAt(n.Value.Pos, "", "%s is a %s, which %q is not", column.Name, column.Type, n.Value.Text)
	}
	return operator.Condition{Column: column.Name, Operator: operator.Operator(n.Operator), Value: v}, nil
}

func findColumn(columns []operator.Column, name wordNode) (operator.Column, error) {
	var known []string
	for _, c := range columns {
		if c.Name == name.Text {
			return c, nil
		}
		known = append(known, c.Name)
	}
	return operator.Column{}, errorAt(name.Pos, suggest(name.Text, known), "there is no column %q", name.Text)
}

func (n *commandNode) change() (operator.Change, error) {
	switch {
	case n.Create != nil:
		return n.Create.change()
	case n.Set != nil:
		return n.Set.change()
	case n.Add != nil:
		patch, err := patchOf(upstreamFields, n.Add.Values)
		return operator.AddUpstream{ID: upstream.ID(n.Add.Name.Text), Values: patch}, err
	case n.Delete != nil:
		return n.Delete.change()
	case n.Grant != nil:
		return n.Grant.change(), nil
	case n.Withdraw != nil:
		return changeKey(operator.WithdrawKey, n.Withdraw.Hash)
	case n.Drain != nil:
		return n.Drain.changeState(upstream.StateDraining), nil
	case n.Resume != nil:
		return n.Resume.changeState(upstream.StateServing), nil
	case n.Retire != nil:
		return n.Retire.changeState(upstream.StateRetired), nil
	case n.Role != nil:
		return n.Role.change()
	default:
		return n.Load.change(), nil
	}
}

func (n *createNode) change() (operator.Change, error) {
	if n.Kind == string(config.KindAccount) {
		patch, err := patchOf(accountFields, n.Values)
		return operator.CreateAccount{ID: contract.AccountID(n.Name.Text), Values: patch}, err
	}
	patch, err := patchOf(routeFields, n.Values)
	return operator.CreateRoute{Name: contract.RouteName(n.Name.Text), Values: patch}, err
}

func (n *setNode) change() (operator.Change, error) {
	switch config.Kind(n.Kind) {
	case config.KindAccount:
		patch, err := patchOf(accountFields, n.Values)
		return operator.SetAccount{ID: contract.AccountID(n.Name.Text), Values: patch}, err
	case config.KindRoute:
		patch, err := patchOf(routeFields, n.Values)
		return operator.SetRoute{Name: contract.RouteName(n.Name.Text), Values: patch}, err
	default:
		patch, err := patchOf(upstreamFields, n.Values)
		return operator.SetUpstream{ID: upstream.ID(n.Name.Text), Values: patch}, err
	}
}

func (n *deleteNode) change() (operator.Change, error) {
	switch config.Kind(n.Kind) {
	case config.KindAccount:
		return operator.Direct{Command: config.DeleteAccount{ID: contract.AccountID(n.Name.Text)}}, nil
	case config.KindRoute:
		return operator.Direct{Command: config.DeleteRoute{Name: contract.RouteName(n.Name.Text)}}, nil
	case config.KindUpstream:
		return operator.Direct{Command: config.DeleteUpstream{ID: upstream.ID(n.Name.Text)}}, nil
	default:
		return changeKey(operator.DeleteKey, n.Name)
	}
}

func (n *grantNode) change() operator.Change {
	grant := operator.GrantKey{Account: contract.AccountID(n.Account.Text)}
	if n.Label != nil {
		grant.Label = n.Label.Text
	}
	return grant
}

func changeKey(verb operator.KeyOperation, hash wordNode) (operator.Change, error) {
	for _, r := range hash.Text {
		if !strings.ContainsRune("0123456789abcdefABCDEF", r) {
			return nil, errorAt(hash.Pos, "the query keys shows the hashes", "%q is not the hash of a key", hash.Text)
		}
	}
	if len(hash.Text) < operator.MinHashPrefix {
		return nil, errorAt(hash.Pos, "", "give at least %d digits of the key's hash", operator.MinHashPrefix)
	}
	return operator.ChangeKey{Verb: verb, Prefix: hash.Text}, nil
}

func (n *upstreamNode) changeState(state upstream.State) operator.Change {
	return operator.Direct{Command: config.ChangeState{ID: upstream.ID(n.Name.Text), State: state}}
}

func (n *roleNode) change() (operator.Change, error) {
	role, err := parseRole(n.Role.Text)
	if err != nil {
		return nil, errorAt(n.Role.Pos, "expected "+err.Error(), "role cannot be %q", n.Role.Text)
	}
	return operator.Direct{Command: config.ChangeRole{ID: upstream.ID(n.Name.Text), Role: role}}, nil
}

func (n *loadNode) change() operator.Change {
	load := config.LoadModel{ID: upstream.ID(n.Upstream.Text), Model: contract.ModelName(n.Model.Text)}
	if n.Version != nil {
		load.Version = n.Version.Text
	}
	return operator.Direct{Command: load}
}

func optionsOf(nodes []*optionNode) (o operator.Options, err error) {
	for _, node := range nodes {
		if err := setOption(&o, node); err != nil {
			return o, err
		}
	}
	return o, nil
}

func setOption(o *operator.Options, node *optionNode) error {
	switch node.Name {
	case optionDryRun:
		if node.Value != nil {
			return errorAt(node.Value.Pos, "", "%s takes no value", node.Name)
		}
		o.DryRun = true
		return nil
	case optionExpect:
		revision, err := strconv.ParseUint(textOf(node.Value), 10, 64)
		if err != nil {
			return errorAt(valuePosition(node), "expected a revision, such as 12", "%s cannot be %q", node.Name, textOf(node.Value))
		}
		expect := contract.Revision(revision)
		o.Expect = &expect
		return nil
	case optionWait:
		wait, err := time.ParseDuration(textOf(node.Value))
		if err != nil || wait <= 0 || wait > operator.MaxInForceWait {
			return errorAt(valuePosition(node), "expected a duration up to "+operator.MaxInForceWait.String(), "%s cannot be %q", node.Name, textOf(node.Value))
		}
		o.Wait = wait
		return nil
	default:
		known := []string{optionExpect, optionDryRun, optionWait}
		return errorAt(node.Pos, suggest(node.Name, known), "there is no option %q", node.Name)
	}
}

func textOf(word *wordNode) string {
	if word == nil {
		return ""
	}
	return word.Text
}

// valuePosition returns the position of an option's value, or of the option if it
// has none.
func valuePosition(node *optionNode) lexer.Position {
	if node.Value == nil {
		return node.Pos
	}
	return node.Value.Pos
}
