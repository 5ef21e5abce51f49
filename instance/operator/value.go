package operator

import (
	"cmp"
	"strconv"
	"strings"
	"time"
)

// Type is the type of a column and of its values. The zero value is invalid.
type Type uint8

// Types of columns.
const (
	Text Type = iota + 1
	Number
	Duration
	Time
	Bool
)

// String returns the name of the type in messages to operators.
func (t Type) String() string {
	switch t {
	case Text:
		return "text"
	case Number:
		return "number"
	case Duration:
		return "duration"
	case Time:
		return "time"
	case Bool:
		return "true or false"
	default:
		return "invalid"
	}
}

// Value is one cell of a table. Only the field that belongs to Type is set.
type Value struct {
	Type     Type
	Text     string
	Number   int64
	Duration time.Duration
	Time     time.Time
	Bool     bool
}

func text[S ~string](s S) Value                   { return Value{Type: Text, Text: string(s)} }
func duration(d time.Duration) Value              { return Value{Type: Duration, Duration: d} }
func timestamp(t time.Time) Value                 { return Value{Type: Time, Time: t} }
func boolean(b bool) Value                        { return Value{Type: Bool, Bool: b} }
func number[N ~int | ~int64 | ~uint64](n N) Value { return Value{Type: Number, Number: int64(n)} }

// ParseValue parses a value as operators write it: integers in decimal, durations in
// Go syntax, times in RFC 3339, booleans as in strconv.ParseBool. ok is false if word
// is not a value of type t.
func ParseValue(t Type, word string) (value Value, ok bool) {
	value.Type = t
	var err error
	switch t {
	case Text:
		value.Text = word
	case Number:
		value.Number, err = strconv.ParseInt(word, 10, 64)
	case Duration:
		value.Duration, err = time.ParseDuration(word)
	case Time:
		value.Time, err = time.Parse(time.RFC3339, word)
	case Bool:
		value.Bool, err = strconv.ParseBool(word)
	default:
		return value, false
	}
	return value, err == nil
}

// String returns the form shown to operators. Times are in RFC 3339 and UTC; the zero
// time is empty.
func (v Value) String() string {
	switch v.Type {
	case Text:
		return v.Text
	case Number:
		return strconv.FormatInt(v.Number, 10)
	case Duration:
		return v.Duration.String()
	case Time:
		if v.Time.IsZero() {
			return ""
		}
		return v.Time.UTC().Format(time.RFC3339)
	case Bool:
		return strconv.FormatBool(v.Bool)
	default:
		return ""
	}
}

// compare orders two values of the same type; false sorts before true.
func compare(a, b Value) int {
	switch a.Type {
	case Text:
		return cmp.Compare(a.Text, b.Text)
	case Number:
		return cmp.Compare(a.Number, b.Number)
	case Duration:
		return cmp.Compare(a.Duration, b.Duration)
	case Time:
		return a.Time.Compare(b.Time)
	default:
		return cmp.Compare(strconv.FormatBool(a.Bool), strconv.FormatBool(b.Bool))
	}
}

// Operator is the comparison operator of a Condition, not a person who operates
// the fleet.
type Operator string

// Operators of conditions.
const (
	Equal          Operator = "="
	NotEqual       Operator = "!="
	Less           Operator = "<"
	LessOrEqual    Operator = "<="
	Greater        Operator = ">"
	GreaterOrEqual Operator = ">="
	// Contains matches a substring of the text form of the value.
	Contains Operator = "~"
)

// matches reports whether "value o operand" is true.
func (o Operator) matches(value, operand Value) bool {
	order := compare(value, operand)
	switch o {
	case Equal:
		return order == 0
	case NotEqual:
		return order != 0
	case Less:
		return order < 0
	case LessOrEqual:
		return order <= 0
	case Greater:
		return order > 0
	case GreaterOrEqual:
		return order >= 0
	default:
		return strings.Contains(value.String(), operand.String())
	}
}
