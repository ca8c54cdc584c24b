package place

import (
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// Problem is a part of a document that does not fit the type it is decoded into.
type Problem struct {
	Place Place
	// Key is set if the problem is a key: one that is unknown, or that occurs
	// more than once. Name is that key.
	Key  bool
	Name string
	// Unknown is set if the key is unknown. Want then lists the known ones.
	Unknown bool
	Problem string
	Want    string
}

// Custom is implemented by types that decode themselves. Misfit returns what is
// wrong with a value and what would be right, or two empty texts. The text of a
// scalar is as it is written, and empty for lists and mappings.
type Custom interface {
	Misfit(kind Kind, text string) (problem, want string)
}

// Check compares a tree with the type that the document is decoded into, by the
// JSON names of its fields.
func (t *Tree) Check(target any) []Problem {
	c := checker{tree: t, shapes: map[reflect.Type]shape{}}
	c.value(root, reflect.TypeOf(target), make([]any, 0, usualDepth))
	return c.problems
}

// usualDepth is how deep the values of most documents are nested.
const usualDepth = 8

// field is a field of a struct with its JSON name. The step leads to it, and is
// the name again, so that it is not converted for each value.
type field struct {
	name   string
	step   any
	target reflect.Type
}

// shape is what a type expects of a value.
type shape struct {
	// custom is nil if the type does not decode itself.
	custom Custom
	// fields are those of a struct.
	fields []field
}

type checker struct {
	tree     *Tree
	shapes   map[reflect.Type]shape
	problems []Problem
}

var (
	customType = reflect.TypeFor[Custom]()
	rawType    = reflect.TypeFor[json.RawMessage]()
)

func (c *checker) value(at int32, target reflect.Type, steps []any) {
	n := &c.tree.nodes[at]
	if n.kind == Null || target == rawType {
		return
	}
	if custom := c.shapeOf(target).custom; custom != nil {
		c.custom(at, target, custom, steps)
		return
	}
	switch target.Kind() {
	case reflect.Struct:
		if c.kind(at, Object, steps) {
			c.object(at, target, steps)
		}
	case reflect.Slice:
		if c.kind(at, List, steps) {
			for i, child := range n.children {
				c.value(child, target.Elem(), append(steps, i))
			}
		}
	case reflect.String:
		c.kind(at, Text, steps)
	case reflect.Bool:
		c.kind(at, Flag, steps)
	case reflect.Float64, reflect.Int, reflect.Int64:
		if c.kind(at, Number, steps) {
			c.number(at, target, steps)
		}
	default:
		// Other kinds of fields do not occur in documents.
	}
}

// number checks that a number can be stored in a field.
func (c *checker) number(at int32, target reflect.Type, steps []any) {
	text := c.tree.nodes[at].text
	if target.Kind() == reflect.Float64 {
		if _, err := strconv.ParseFloat(text, 64); err != nil {
			c.report(at, steps, "the number is out of range", "a smaller number")
		}
		return
	}
	if _, err := strconv.ParseInt(text, 10, 64); err != nil {
		c.report(at, steps, text+" is not a whole number", "a whole number without point or exponent")
	}
}

func (c *checker) custom(at int32, target reflect.Type, custom Custom, steps []any) {
	n := &c.tree.nodes[at]
	problem, want := custom.Misfit(n.kind, n.text)
	if problem != "" {
		c.report(at, steps, problem, want)
		return
	}
	if target.Kind() == reflect.Struct {
		c.object(at, target, steps)
	}
}

// kind reports whether a value is of the wanted kind, and adds a problem if not.
func (c *checker) kind(at int32, want Kind, steps []any) bool {
	if got := c.tree.nodes[at].kind; got != want {
		c.report(at, steps, "the value is "+got.String(), want.String())
		return false
	}
	return true
}

func (c *checker) object(at int32, target reflect.Type, steps []any) {
	shape := c.shapeOf(target)
	fields := shape.fields
	children := c.tree.nodes[at].children
	for i, child := range children {
		// A mapping without unknown keys has at most as many entries as the type
		// has fields, so comparing with the first ones finds each repetition in it.
		key := c.tree.nodes[child].key
		for _, earlier := range children[:min(i, len(fields))] {
			if c.tree.nodes[earlier].key == key {
				c.keyProblem(child, steps, "the key occurs more than once", "one value")
				break
			}
		}
		f, ok := shape.match(key)
		if !ok {
			c.keyProblem(child, steps, "unknown key", "one of "+names(fields))
			c.problems[len(c.problems)-1].Unknown = true
			continue
		}
		c.value(child, f.target, append(steps, f.step))
	}
}

func (c *checker) keyProblem(child int32, steps []any, problem, want string) {
	c.report(child, append(steps, c.tree.nodes[child].key), problem, want)
	p := &c.problems[len(c.problems)-1]
	p.Key, p.Name = true, c.tree.nodes[child].key
}

func (c *checker) report(at int32, steps []any, problem, want string) {
	place := c.tree.place(at)
	place.Path = pathOf(steps)
	c.problems = append(c.problems, Problem{Place: place, Problem: problem, Want: want})
}

func (c *checker) shapeOf(target reflect.Type) shape {
	if known, ok := c.shapes[target]; ok {
		return known
	}
	var s shape
	if target.Implements(customType) {
		s.custom = reflect.Zero(target).Interface().(Custom)
	}
	if target.Kind() == reflect.Struct {
		s.fields = fieldsOf(target)
	}
	c.shapes[target] = s
	return s
}

func fieldsOf(target reflect.Type) []field {
	var fields []field
	for i := range target.NumField() {
		f := target.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields = append(fields, field{name: name, step: name, target: f.Type})
	}
	return fields
}

// match returns the field that is filled from a key: by the standard library's decoder,
// which ignores case, or by the type itself, which does not.
func (s shape) match(key string) (field, bool) {
	for _, f := range s.fields {
		if f.name == key {
			return f, true
		}
	}
	for _, f := range s.fields {
		if s.custom == nil && strings.EqualFold(f.name, key) {
			return f, true
		}
	}
	return field{}, false
}

func names(fields []field) string {
	var list []string
	for _, f := range fields {
		list = append(list, f.name)
	}
	return strings.Join(list, ", ")
}
