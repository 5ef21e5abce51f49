// Package language parses the query and command language of operators. It turns
// one line of text into a typed query or change of package instance/operator,
// which runs them. The administration API and trefoilctl both use it.
package language

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// MaxLength bounds a statement, in bytes.
const MaxLength = 16 << 10

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "String", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Option", Pattern: `--[a-z][a-z-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|[=<>~]`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[^\s"#,;=!<>~]+`},
	{Name: "Space", Pattern: `\s+`},
})

var parser = participle.MustBuild[statementNode](
	participle.Lexer(tokens),
	participle.Elide("Comment", "Space"),
	participle.Unquote("String"),
	// Without lookahead the first word decides the kind of statement, so an
	// error is reported at the word that causes it.
	participle.UseLookahead(0),
)

// statementNode is the syntax tree of one line.
type statementNode struct {
	Command *commandNode `parser:"  @@"`
	Query   *queryNode   `parser:"| @@"`
}

type queryNode struct {
	Subject string           `parser:"'show'? @( 'requests' | 'upstreams' | 'instances' | 'zones' | 'accounts' | 'keys' | 'routes' | 'rates' | 'revisions' )"`
	Where   []*conditionNode `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	OrderBy []*orderNode     `parser:"( 'order' 'by' @@ ( Comma @@ )* )?"`
	Limit   *wordNode        `parser:"( 'limit' @@ )?"`
}

type conditionNode struct {
	Column   wordNode `parser:"@@"`
	Operator string   `parser:"@Operator"`
	Value    wordNode `parser:"@@"`
}

type orderNode struct {
	Column     wordNode `parser:"@@"`
	Descending bool     `parser:"( @'desc' | 'asc' )?"`
}

// wordNode is a word or quoted string with its position in the line.
type wordNode struct {
	Pos  lexer.Position
	Text string `parser:"@( Word | String )"`
}

type commandNode struct {
	Create   *createNode   `parser:"(  'create' @@"`
	Set      *setNode      `parser:"| 'set' @@"`
	Add      *addNode      `parser:"| 'add' @@"`
	Delete   *deleteNode   `parser:"| 'delete' @@"`
	Grant    *grantNode    `parser:"| 'grant' @@"`
	Withdraw *withdrawNode `parser:"| 'withdraw' @@"`
	Drain    *upstreamNode `parser:"| 'drain' @@"`
	Resume   *upstreamNode `parser:"| 'resume' @@"`
	Retire   *upstreamNode `parser:"| 'retire' @@"`
	Role     *roleNode     `parser:"| 'role' @@"`
	Load     *loadNode     `parser:"| 'load' @@ )"`
	Options  []*optionNode `parser:"@@*"`
}

type createNode struct {
	Kind   string       `parser:"@( 'account' | 'route' )"`
	Name   wordNode     `parser:"@@"`
	Values []*valueNode `parser:"@@*"`
}

type setNode struct {
	Kind   string       `parser:"@( 'account' | 'route' | 'upstream' )"`
	Name   wordNode     `parser:"@@"`
	Values []*valueNode `parser:"@@+"`
}

type addNode struct {
	Name   wordNode     `parser:"'upstream' @@"`
	Values []*valueNode `parser:"@@*"`
}

type deleteNode struct {
	Kind string   `parser:"@( 'account' | 'key' | 'route' | 'upstream' )"`
	Name wordNode `parser:"@@"`
}

type grantNode struct {
	Account wordNode  `parser:"'key' 'to' 'account'? @@"`
	Label   *wordNode `parser:"( 'label' @@ )?"`
}

type withdrawNode struct {
	Hash wordNode `parser:"'key' @@"`
}

type upstreamNode struct {
	Name wordNode `parser:"'upstream' @@"`
}

type roleNode struct {
	Name wordNode `parser:"'upstream' @@"`
	Role wordNode `parser:"'to'? @@"`
}

type loadNode struct {
	Model    wordNode  `parser:"'model' @@"`
	Version  *wordNode `parser:"( 'version' @@ )?"`
	Upstream wordNode  `parser:"'on' 'upstream'? @@"`
}

// valueNode is the name of a field and the value or list of values it is set to.
type valueNode struct {
	Name  wordNode    `parser:"@@"`
	Value []*wordNode `parser:"@@ ( Comma @@ )*"`
}

type optionNode struct {
	Pos   lexer.Position
	Name  string    `parser:"@Option"`
	Value *wordNode `parser:"@@?"`
}
