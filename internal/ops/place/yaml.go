package place

import (
	"encoding/json"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

const (
	// maxDepth bounds nesting, also that of an anchor that contains itself.
	maxDepth = 1000
	// maxAliased bounds the nodes that aliases add to a document.
	maxAliased = 1 << 20
)

// errNesting means that a document exceeds maxDepth or maxAliased.
var errNesting = errors.Mark(errors.New("nesting or aliases are too deep"), ErrSyntax)

// lineInError finds the line that the YAML decoder names in its errors.
var lineInError = regexp.MustCompile(`line (\d+)`)

// YAML reads a YAML document. If it is not well-formed, the error wraps ErrSyntax
// and the place tells where.
func YAML(data []byte) (*Tree, Place, error) {
	if tree, ok := readPlain(data); ok {
		return tree, Place{}, nil
	}
	return parseYAML(data)
}

// parseYAML reads a document by the YAML parser.
func parseYAML(data []byte) (*Tree, Place, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		place := Place{Line: 1, Column: 1}
		if match := lineInError.FindStringSubmatch(err.Error()); match != nil {
			place.Line, _ = strconv.Atoi(match[1])
		}
		return nil, place, errors.Mark(err, ErrSyntax)
	}
	if len(document.Content) == 0 {
		return nil, Place{Line: 1, Column: 1}, errors.Mark(errors.New("the document is empty"), ErrSyntax)
	}
	r := yamlReader{tree: &Tree{}}
	if _, err := r.value("", document.Content[0], 0, false); err != nil {
		return nil, r.last, err
	}
	return r.tree, Place{}, nil
}

// yamlReader builds the tree of a YAML document.
type yamlReader struct {
	tree    *Tree
	aliased int
	last    Place
}

// value adds a node and those under it, and returns its index. Aliases are
// replaced by what they stand for.
func (r *yamlReader) value(key string, from *yaml.Node, depth int, aliased bool) (int32, error) {
	place := Place{Line: from.Line, Column: from.Column}
	r.last = place
	for from.Kind == yaml.AliasNode {
		from, aliased = from.Alias, true
	}
	if aliased {
		r.aliased++
	}
	if depth > maxDepth || r.aliased > maxAliased {
		return 0, errNesting
	}
	index := int32(len(r.tree.nodes))
	r.tree.nodes = append(r.tree.nodes, node{key: key, line: place.Line, column: place.Column})
	var children []int32
	var err error
	kind := kindOfTag(from)
	switch kind {
	case Object:
		children, err = r.members(from, depth, aliased)
	case List:
		for _, c := range from.Content {
			var child int32
			if child, err = r.value("", c, depth+1, aliased); err != nil {
				break
			}
			children = append(children, child)
		}
	default:
		// Scalars have no children.
	}
	n := &r.tree.nodes[index]
	n.kind, n.text, n.children = kind, scalarText(kind, from), children
	return index, err
}

// members returns the entries of a mapping. Those of merged mappings come first,
// without the ones that the mapping itself has.
func (r *yamlReader) members(from *yaml.Node, depth int, aliased bool) ([]int32, error) {
	if depth > maxDepth {
		return nil, errNesting
	}
	var merged, own []int32
	for i := 0; i+1 < len(from.Content); i += 2 {
		key, value := from.Content[i], from.Content[i+1]
		var err error
		if key.ShortTag() == "!!merge" {
			merged, err = r.merged(merged, value, depth+1)
		} else {
			var child int32
			child, err = r.value(key.Value, value, depth+1, aliased)
			own = append(own, child)
		}
		if err != nil {
			return nil, err
		}
	}
	if len(merged) == 0 {
		return own, nil
	}
	keys := map[string]bool{}
	for _, child := range own {
		keys[r.tree.nodes[child].key] = true
	}
	children := merged[:0]
	for _, child := range merged {
		if key := r.tree.nodes[child].key; !keys[key] {
			keys[key] = true
			children = append(children, child)
		}
	}
	return append(children, own...), nil
}

// merged adds the entries of the mapping, or the list of mappings, that a merge
// key holds. Earlier ones take precedence.
func (r *yamlReader) merged(children []int32, value *yaml.Node, depth int) ([]int32, error) {
	for value.Kind == yaml.AliasNode {
		value = value.Alias
	}
	sources := []*yaml.Node{value}
	if value.Kind == yaml.SequenceNode {
		sources = value.Content
	}
	for _, s := range sources {
		for s.Kind == yaml.AliasNode {
			s = s.Alias
		}
		if s.Kind != yaml.MappingNode {
			return nil, errors.Mark(errors.New("only mappings can be merged"), ErrSyntax)
		}
		more, err := r.members(s, depth, true)
		if err != nil {
			return nil, err
		}
		children = append(children, more...)
	}
	return children, nil
}

// scalarText returns a scalar as it is after a conversion to JSON, by way of which
// documents in YAML are decoded: 0x10 and 1.6e1 are both 16, and a date gets a time.
func scalarText(kind Kind, from *yaml.Node) string {
	switch tag := from.ShortTag(); {
	case kind == Text && tag == "!!str", kind == Object, kind == List:
		return from.Value
	case kind == Number && plainNumber.MatchString(from.Value):
		return from.Value
	}
	var value any
	if err := from.Decode(&value); err != nil {
		return from.Value
	}
	data, err := json.Marshal(value)
	if err != nil {
		return from.Value
	}
	if text := ""; json.Unmarshal(data, &text) == nil && kind == Text {
		return text
	}
	return string(data)
}

// plainNumber is a whole number that reads the same in YAML and JSON.
var plainNumber = regexp.MustCompile(`^(0|-?[1-9][0-9]{0,17})$`)

func kindOfTag(n *yaml.Node) Kind {
	switch n.Kind {
	case yaml.MappingNode:
		return Object
	case yaml.SequenceNode:
		return List
	default:
		// The tag tells the kinds of scalars apart.
	}
	switch n.ShortTag() {
	case "!!null":
		return Null
	case "!!int", "!!float":
		return Number
	case "!!bool":
		return Flag
	default:
		return Text
	}
}
