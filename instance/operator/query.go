package operator

import (
	"slices"
)

// Query asks for rows of one subject.
type Query struct {
	Subject Subject
	Where   []Condition
	OrderBy []Order
	// Limit bounds the rows; 0 means all.
	Limit int
}

// Condition must hold for each row.
type Condition struct {
	Column   string
	Operator Operator
	Value    Value
}

// Order sorts rows by a column.
type Order struct {
	Column     string
	Descending bool
}

// Column describes a column of a subject.
type Column struct {
	Name string
	Type Type
}

// Silent is an instance that did not answer.
type Silent struct {
	Instance string
	Reason   string
}

// Table is the answer to a query.
type Table struct {
	Columns []Column
	Rows    [][]Value
	// Total counts the rows before the limit.
	Total int
	// Silent names the instances whose rows are missing.
	Silent []Silent
}

// column is a column of rows of type R.
type column[R any] struct {
	Column
	value func(R) Value
}

// tabulate makes the table of a query from typed rows.
func tabulate[R any](q Query, columns []column[R], rows []R) *Table {
	t := &Table{Columns: heads(columns)}
	for _, row := range rows {
		cells := make([]Value, len(columns))
		for i, c := range columns {
			cells[i] = c.value(row)
		}
		if t.meets(cells, q.Where) {
			t.Rows = append(t.Rows, cells)
		}
	}
	t.sort(q.OrderBy)
	t.Total = len(t.Rows)
	if q.Limit > 0 && len(t.Rows) > q.Limit {
		t.Rows = t.Rows[:q.Limit]
	}
	return t
}

func heads[R any](columns []column[R]) []Column {
	all := make([]Column, len(columns))
	for i, c := range columns {
		all[i] = c.Column
	}
	return all
}

func (t *Table) index(name string) int {
	return slices.IndexFunc(t.Columns, func(c Column) bool { return c.Name == name })
}

func (t *Table) meets(cells []Value, conditions []Condition) bool {
	for _, c := range conditions {
		i := t.index(c.Column)
		if i < 0 || !c.Operator.holds(cells[i], c.Value) {
			return false
		}
	}
	return true
}

// sort orders rows by the columns asked for and then by all others in turn, so
// that the same rows always come in the same order.
func (t *Table) sort(orders []Order) {
	slices.SortFunc(t.Rows, func(a, b []Value) int {
		for _, order := range orders {
			i := t.index(order.Column)
			if i < 0 {
				continue
			}
			if c := compare(a[i], b[i]); c != 0 && order.Descending {
				return -c
			} else if c != 0 {
				return c
			}
		}
		return slices.CompareFunc(a, b, compare)
	})
}
