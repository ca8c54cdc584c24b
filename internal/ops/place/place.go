// Package place reads a JSON or YAML document into a tree that knows where each
// value stands in the file, and checks the tree against a Go type. It answers
// documents of many thousand entries that people edit by hand, where an error
// without a line is hard to find. The package audit and the decoders of documents
// call it. It performs no I/O.
package place

import (
	"fmt"
	"sort"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrSyntax means that a document is not well-formed.
var ErrSyntax = errors.New("document is not well-formed")

// Place is where a value stands in a file. Line and Column count from 1; a Line
// of 0 means that the place is not known.
type Place struct {
	Path   string `json:"path"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
}

// Before reports whether the place comes earlier in the file than another.
func (p Place) Before(other Place) bool {
	if p.Line != other.Line {
		return p.Line < other.Line
	}
	return p.Column < other.Column
}

// Kind is the kind of a value.
type Kind int

// The kinds of values.
const (
	Null Kind = iota
	Text
	Number
	Flag
	List
	Object
)

// String returns the kind as it is called in messages.
func (k Kind) String() string {
	return [...]string{"null", "a text", "a number", "true or false", "a list", "a mapping"}[k]
}

// node is a value of the tree. Nodes refer to each other by index, so that a
// large document costs few allocations.
type node struct {
	kind Kind
	key  string
	// text is the value of a scalar as it is written; for texts, without quotes.
	text string
	// offset is the position in a JSON document. In a tree read from YAML, line
	// and column hold the place instead.
	offset       int
	line, column int
	children     []int32
}

// Tree is a document with the places of its values.
type Tree struct {
	nodes []node
	// lines holds the offset of the start of each line of a JSON document.
	lines []int
}

// root is the index of the document's outermost value.
const root = 0

// Find returns the place of the value that the steps lead to: a string selects a
// key, an int an entry of a list. If the value is absent, the place is that of
// the nearest value around it.
func (t *Tree) Find(steps ...any) Place {
	at, deepest := int32(root), int32(root)
	found := true
	for _, s := range steps {
		if found {
			at, found = t.step(at, s)
		}
		if found {
			deepest = at
		}
	}
	place := t.place(deepest)
	place.Path = pathOf(steps)
	return place
}

// Has reports whether the document has a value other than null where the steps
// lead to.
func (t *Tree) Has(steps ...any) bool {
	at := int32(root)
	for _, s := range steps {
		var found bool
		if at, found = t.step(at, s); !found {
			return false
		}
	}
	return t.nodes[at].kind != Null
}

// step returns the child that a step selects. Of equal keys, the last one counts;
// an exact match is preferred to one that differs in case, as in the standard
// library's decoder.
func (t *Tree) step(at int32, step any) (int32, bool) {
	n := &t.nodes[at]
	switch s := step.(type) {
	case int:
		if n.kind != List || s < 0 || s >= len(n.children) {
			return 0, false
		}
		return n.children[s], true
	case string:
		folded := int32(-1)
		for i := len(n.children) - 1; i >= 0 && n.kind == Object; i-- {
			key := t.nodes[n.children[i]].key
			if key == s {
				return n.children[i], true
			}
			if folded < 0 && strings.EqualFold(key, s) {
				folded = n.children[i]
			}
		}
		return folded, folded >= 0
	}
	return 0, false
}

// place returns where a node stands, without its path.
func (t *Tree) place(at int32) Place {
	n := &t.nodes[at]
	if t.lines == nil {
		return Place{Line: n.line, Column: n.column}
	}
	return offsetPlace(t.lines, n.offset)
}

// offsetPlace converts an offset to a line and a column.
func offsetPlace(lines []int, offset int) Place {
	line := sort.SearchInts(lines, offset+1)
	return Place{Line: line, Column: offset - lines[line-1] + 1}
}

// lineStarts returns the offset of the start of each line.
func lineStarts(text string) []int {
	starts := []int{0}
	for at := 0; ; {
		i := strings.IndexByte(text[at:], '\n')
		if i < 0 {
			return starts
		}
		at += i + 1
		starts = append(starts, at)
	}
}

// pathOf returns steps as a path like "routes[3].slo_ms".
func pathOf(steps []any) string {
	var b strings.Builder
	for _, s := range steps {
		switch s := s.(type) {
		case int:
			fmt.Fprintf(&b, "[%d]", s)
		case string:
			if b.Len() > 0 {
				b.WriteByte('.')
			}
			b.WriteString(printable(s))
		}
	}
	return b.String()
}

// printable returns a key as it is, or quoted if a terminal could interpret it.
func printable(key string) string {
	if quoted := strconv.Quote(key); quoted[1:len(quoted)-1] != key {
		return quoted
	}
	return key
}
