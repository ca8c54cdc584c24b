package place

import (
	"strings"

	"go.yaml.in/yaml/v3"
)

// plainReader reads the part of YAML that documents are usually written in, about
// ten times as fast as the YAML parser, which needs two seconds for 8 MB: block
// mappings and lists, and flow collections and scalars that end in their line, in
// printable ASCII, without escapes, anchors, tags and empty values. For anything
// else ok turns false, and the YAML parser decides. A fuzz test compares both.
type plainReader struct {
	text string
	// start is the offset of the current line, and number counts lines from 1.
	start, number int
	// end is the offset of the current line's line feed, and indent is the
	// line's first column that is not a space, counted from 0.
	end, indent int
	tree        *Tree
	ok          bool
}

// maxPlainDepth bounds the depth of nested blocks and flow collections.
const maxPlainDepth = 64

// readPlain returns false if the document needs the YAML parser.
func readPlain(data []byte) (*Tree, bool) {
	for _, c := range data {
		if c != '\n' && (c < ' ' || c > '~') {
			return nil, false
		}
	}
	// Each value of a list or mapping comes with a comma, a colon or a line.
	text := string(data)
	size := strings.Count(text, ",") + strings.Count(text, ":") + strings.Count(text, "\n")
	r := &plainReader{text: text, end: -1, ok: true, tree: &Tree{nodes: make([]node, 0, size+1)}}
	if !r.next() || r.indent != 0 {
		return nil, false
	}
	r.mapping("", r.start, 0)
	return r.tree, r.ok && r.start >= len(r.text)
}

// next moves to the next line with content. At the end, start is the length of
// the text and indent is -1.
func (r *plainReader) next() bool {
	for r.end < len(r.text) {
		r.start, r.number = r.end+1, r.number+1
		if r.start >= len(r.text) {
			break
		}
		r.end = len(r.text)
		if i := strings.IndexByte(r.text[r.start:], '\n'); i >= 0 {
			r.end = r.start + i
		}
		at := r.skipSpaces(r.start)
		if at < r.end && r.text[at] != '#' {
			r.indent = at - r.start
			return true
		}
	}
	r.start, r.end, r.indent = len(r.text), len(r.text), -1
	return false
}

func (r *plainReader) skipSpaces(at int) int {
	for at < r.end && r.text[at] == ' ' {
		at++
	}
	return at
}

func (r *plainReader) fail() {
	r.ok = false
}

// add adds a node that starts at an offset of the current line.
func (r *plainReader) add(kind Kind, key string, at int) int32 {
	r.tree.nodes = append(r.tree.nodes, node{kind: kind, key: key, line: r.number, column: at - r.start + 1})
	return int32(len(r.tree.nodes) - 1)
}

// mapping reads a block mapping whose first key is at an offset of the current
// line, and moves to the line after it.
func (r *plainReader) mapping(key string, at, depth int) int32 {
	index := r.add(Object, key, at)
	column := at - r.start
	children := make([]int32, 0, 4)
	for r.ok {
		entry, after := r.key(at)
		if after == 0 || depth > maxPlainDepth {
			r.fail()
			break
		}
		children = append(children, r.entry(entry, after, column, depth+1))
		if !r.ok || r.indent < column {
			break
		}
		if r.indent > column {
			r.fail()
			break
		}
		at = r.start + r.indent
		if r.text[at] == '-' {
			r.fail()
		}
	}
	r.tree.nodes[index].children = children
	return index
}

// entry reads the value of a key of a mapping in the given column. The value
// starts in the same line, or is a block in the next ones.
func (r *plainReader) entry(key string, at, column, depth int) int32 {
	at = r.skipSpaces(at)
	if at < r.end && r.text[at] != '#' {
		return r.line(key, at, depth)
	}
	if !r.next() || r.indent < column {
		r.fail()
		return 0
	}
	first := r.start + r.indent
	if r.isItem(first) {
		return r.list(key, first, depth)
	}
	if r.indent == column {
		r.fail()
		return 0
	}
	return r.mapping(key, first, depth)
}

// list reads a block list whose first item is at an offset of the current line,
// and moves to the line after it.
func (r *plainReader) list(key string, at, depth int) int32 {
	index := r.add(List, key, at)
	column := at - r.start
	var children []int32
	for r.ok {
		value := r.skipSpaces(at + 1)
		if value == r.end || r.text[value] == '#' || r.isItem(value) || depth > maxPlainDepth {
			r.fail()
			break
		}
		if _, after := r.key(value); after > 0 {
			children = append(children, r.mapping("", value, depth+1))
		} else {
			children = append(children, r.line("", value, depth+1))
		}
		at = r.start + r.indent
		if !r.ok || r.indent < column || r.indent == column && !r.isItem(at) {
			break
		}
		if r.indent > column {
			r.fail()
		}
	}
	r.tree.nodes[index].children = children
	return index
}

// isItem reports whether an item of a block list starts at an offset.
func (r *plainReader) isItem(at int) bool {
	return at+1 < r.end && r.text[at] == '-' && r.text[at+1] == ' '
}

// key reads a plain key with its colon. It returns the offset after the colon, or
// 0 if there is no such key.
func (r *plainReader) key(at int) (string, int) {
	end := at
	for end < r.end && isKeyByte(r.text[end]) {
		end++
	}
	if end == at || end-at > maxPlainKey || !isLetter(r.text[at]) || end == r.end || r.text[end] != ':' {
		return "", 0
	}
	if end+1 < r.end && r.text[end+1] != ' ' {
		return "", 0
	}
	return r.text[at:end], end + 1
}

// maxPlainKey is well below the length at which YAML ends a key.
const maxPlainKey = 128

// line reads a value that fills the rest of the line, and moves to the next line.
func (r *plainReader) line(key string, at, depth int) int32 {
	index, after := r.flow(key, at, depth)
	rest := r.skipSpaces(after)
	if rest < r.end && (r.text[rest] != '#' || rest == after) {
		r.fail()
	}
	r.next()
	return index
}

// flow reads a scalar or a flow collection, and returns the offset after it.
func (r *plainReader) flow(key string, at, depth int) (int32, int) {
	if at >= r.end || depth > maxPlainDepth {
		r.fail()
		return 0, at
	}
	switch c := r.text[at]; c {
	case '[':
		return r.collection(List, ']', key, at, depth)
	case '{':
		return r.collection(Object, '}', key, at, depth)
	case '"', '\'':
		return r.quoted(c, key, at)
	default:
		return r.scalar(key, at)
	}
}

func (r *plainReader) collection(kind Kind, closing byte, key string, at, depth int) (int32, int) {
	index := r.add(kind, key, at)
	var children []int32
	at = r.skipSpaces(at + 1)
	for r.ok && at < r.end && (r.text[at] != closing || children != nil) {
		entry := ""
		if kind == Object {
			if entry, at = r.key(at); at == 0 {
				r.fail()
				break
			}
			at = r.skipSpaces(at)
		}
		var child int32
		child, at = r.flow(entry, at, depth+1)
		children = append(children, child)
		at = r.skipSpaces(at)
		if at < r.end && r.text[at] == closing {
			break
		}
		if at >= r.end || r.text[at] != ',' {
			r.fail()
			break
		}
		at = r.skipSpaces(at + 1)
	}
	if !r.ok || at >= r.end {
		r.fail()
		return index, at
	}
	r.tree.nodes[index].children = children
	return index, at + 1
}

// quoted reads a quoted text without escapes.
func (r *plainReader) quoted(quote byte, key string, at int) (int32, int) {
	index := r.add(Text, key, at)
	length := strings.IndexByte(r.text[at+1:r.end], quote)
	after := at + length + 2
	if length < 0 || strings.IndexByte(r.text[at:after], '\\') >= 0 || after < r.end && r.text[after] == quote {
		r.fail()
		return index, at
	}
	r.tree.nodes[index].text = r.text[at+1 : after-1]
	return index, after
}

// scalar reads a plain scalar.
func (r *plainReader) scalar(key string, at int) (int32, int) {
	end := at
	for end < r.end && isScalarByte(r.text[end]) {
		end++
	}
	value := r.text[at:end]
	if value == "" || !isLetter(value[0]) && !isDigit(value[0]) && !plainNumber.MatchString(value) {
		r.fail()
		return 0, end
	}
	index := r.add(Text, key, at)
	n := &r.tree.nodes[index]
	switch {
	case isLetter(value[0]) && len(value) > len("false"):
		n.text = value
		return index, end
	case len(value) == 1 && isDigit(value[0]):
		n.kind, n.text = Number, value
		return index, end
	case value == "true" || value == "false":
		n.kind, n.text = Flag, value
		return index, end
	}
	resolved := yaml.Node{Kind: yaml.ScalarNode, Value: value}
	n.kind = kindOfTag(&resolved)
	n.text = scalarText(n.kind, &resolved)
	return index, end
}

func isLetter(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
}

func isDigit(c byte) bool {
	return c >= '0' && c <= '9'
}

func isKeyByte(c byte) bool {
	return isLetter(c) || isDigit(c) || c == '-' || c == '_'
}

func isScalarByte(c byte) bool {
	return isKeyByte(c) || c == '.' || c == '/'
}
