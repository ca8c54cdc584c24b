package place

import (
	"encoding/json"
	"strings"

	"github.com/cockroachdb/errors"
)

// JSON reads a JSON document. If it is not well-formed, the error wraps
// ErrSyntax and the place tells where.
func JSON(data []byte) (*Tree, Place, error) {
	text := string(data)
	if !json.Valid(data) {
		var ignored json.RawMessage
		err := json.Unmarshal(data, &ignored)
		place := Place{Line: 1, Column: 1}
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			place = offsetPlace(lineStarts(text), max(0, int(syntax.Offset)-1))
		}
		return nil, place, errors.Mark(err, ErrSyntax)
	}
	// Each value but the outermost follows a comma or an opening bracket.
	size := strings.Count(text, ",") + strings.Count(text, "{") + strings.Count(text, "[")
	r := jsonReader{text: text, tree: &Tree{lines: lineStarts(text), nodes: make([]node, 0, size+1)}}
	r.value("")
	return r.tree, Place{}, nil
}

// jsonReader builds the tree of a document that is known to be valid.
type jsonReader struct {
	text string
	at   int
	tree *Tree
}

// value reads the next value and returns its index. The depth of recursion is
// bounded by that of valid documents, which the standard library limits to 10000.
func (r *jsonReader) value(key string) int32 {
	r.skipSpace()
	index := int32(len(r.tree.nodes))
	r.tree.nodes = append(r.tree.nodes, node{key: key, offset: r.at})
	var n node
	switch r.text[r.at] {
	case '{':
		n.kind, n.children = Object, r.members(true)
	case '[':
		n.kind, n.children = List, r.members(false)
	case '"':
		n.kind, n.text = Text, r.quoted()
	default:
		n.text = r.word()
		n.kind = kindOfWord(n.text)
	}
	n.key, n.offset = key, r.tree.nodes[index].offset
	r.tree.nodes[index] = n
	return index
}

// members reads the entries of a list, or of a mapping with their keys.
func (r *jsonReader) members(keyed bool) []int32 {
	var children []int32
	r.at++
	for {
		r.skipSpace()
		switch r.text[r.at] {
		case '}', ']':
			r.at++
			return children
		case ',':
			r.at++
			continue
		}
		key := ""
		if keyed {
			key = r.quoted()
			r.skipSpace()
			r.at++
		}
		children = append(children, r.value(key))
	}
}

// quoted reads a text.
func (r *jsonReader) quoted() string {
	start := r.at
	escaped := false
	for r.at++; r.text[r.at] != '"'; r.at++ {
		if r.text[r.at] == '\\' {
			escaped = true
			r.at++
		}
	}
	r.at++
	raw := r.text[start:r.at]
	if !escaped {
		return raw[1 : len(raw)-1]
	}
	var plain string
	_ = json.Unmarshal([]byte(raw), &plain)
	return plain
}

// word reads a number, true, false or null.
func (r *jsonReader) word() string {
	start := r.at
	for r.at < len(r.text) && !isSpace(r.text[r.at]) && !isClosing(r.text[r.at]) {
		r.at++
	}
	return r.text[start:r.at]
}

func (r *jsonReader) skipSpace() {
	for r.at < len(r.text) && isSpace(r.text[r.at]) {
		r.at++
	}
}

func isSpace(c byte) bool {
	return c == ' ' || c == '\t' || c == '\r' || c == '\n'
}

// isClosing reports whether a byte ends a number or a word without a space.
func isClosing(c byte) bool {
	return c == ',' || c == ']' || c == '}'
}

func kindOfWord(word string) Kind {
	switch word {
	case "null":
		return Null
	case "true", "false":
		return Flag
	default:
		return Number
	}
}

// JSON returns the tree as a JSON document.
func (t *Tree) JSON() []byte {
	return t.appendJSON(nil, root)
}

func (t *Tree) appendJSON(out []byte, at int32) []byte {
	n := &t.nodes[at]
	switch n.kind {
	case Null:
		return append(out, "null"...)
	case Text:
		return appendText(out, n.text)
	case Number, Flag:
		return append(out, n.text...)
	case List:
		out = append(out, '[')
		for i, child := range n.children {
			if i > 0 {
				out = append(out, ',')
			}
			out = t.appendJSON(out, child)
		}
		return append(out, ']')
	default:
		out = append(out, '{')
		for i, child := range n.children {
			if i > 0 {
				out = append(out, ',')
			}
			out = append(appendText(out, t.nodes[child].key), ':')
			out = t.appendJSON(out, child)
		}
		return append(out, '}')
	}
}

func appendText(out []byte, text string) []byte {
	plain := true
	for i := range len(text) {
		plain = plain && text[i] >= ' ' && text[i] <= '~' && text[i] != '"' && text[i] != '\\'
	}
	if plain {
		return append(append(append(out, '"'), text...), '"')
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return append(out, `""`...)
	}
	return append(out, quoted...)
}
