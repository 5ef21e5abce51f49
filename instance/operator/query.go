package operator

import (
	"slices"
)

// Query selects and sorts rows of one subject.
type Query struct {
	Subject Subject
	// Where holds conditions that must all be true of a row.
	Where   []Condition
	OrderBy []Order
	// Limit is the maximum number of rows returned; 0 means no limit.
	Limit int
}

// Condition compares a column with a constant, as in Column Operator Value.
type Condition struct {
	Column   string
	Operator Operator
	Value    Value
}

// Order is a sort key of a query.
type Order struct {
	Column     string
	Descending bool
}

// Column is the name and type of a column of a subject.
type Column struct {
	Name string
	Type Type
}

// MissingInstance is an instance that did not answer a query, or one at which a changed
// configuration is not in force: it did not answer or has an older revision.
type MissingInstance struct {
	Instance string
	Reason   string
}

// Table is the result of a query.
type Table struct {
	Columns []Column
	Rows    [][]Value
	// Total is the number of matching rows before Limit is applied.
	Total int
	// Missing lists the instances whose rows are missing.
	Missing []MissingInstance
}

// column is a Column with the function that reads its value from a row of type R.
type column[R any] struct {
	Column
	value func(R) Value
}

// tabulate filters, sorts and limits rows as the query requests. No row matches a
// condition on an unknown column; a sort key with an unknown column is ignored.
func tabulate[R any](q Query, columns []column[R], rows []R) *Table {
	t := &Table{Columns: columnHeaders(columns)}
	for _, row := range rows {
		cells := make([]Value, len(columns))
		for i, c := range columns {
			cells[i] = c.value(row)
		}
		if t.matchesAll(cells, q.Where) {
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

// columnHeaders returns the names and types of columns.
func columnHeaders[R any](columns []column[R]) []Column {
	all := make([]Column, len(columns))
	for i, c := range columns {
		all[i] = c.Column
	}
	return all
}

// columnIndex returns -1 if there is no such column.
func (t *Table) columnIndex(name string) int {
	return slices.IndexFunc(t.Columns, func(c Column) bool { return c.Name == name })
}

// matchesAll reports whether a row meets all conditions.
func (t *Table) matchesAll(cells []Value, conditions []Condition) bool {
	for _, c := range conditions {
		i := t.columnIndex(c.Column)
		if i < 0 || !c.Operator.matches(cells[i], c.Value) {
			return false
		}
	}
	return true
}

// sort sorts rows by the given keys and then by all columns from left to right, so
// that equal sets of rows have the same order.
func (t *Table) sort(orders []Order) {
	slices.SortFunc(t.Rows, func(a, b []Value) int {
		for _, order := range orders {
			i := t.columnIndex(order.Column)
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
