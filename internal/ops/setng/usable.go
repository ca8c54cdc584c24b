package setng

import (
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"go.yaml.in/yaml/v3"
)

// LoadUsableFleet reads the settings file at path as the platform has rendered it. A value
// that cannot be used is replaced by its default and described: a host that does not start
// serves nobody. The error is about a value without which it cannot run.
func LoadUsableFleet(path string) (Fleet, []string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Fleet{}, nil, errors.Mark(err, ErrInvalid)
	}
	return ParseUsableFleet(path, data)
}

// ParseUsableFleet does the same with the content of a file.
func ParseUsableFleet(name string, data []byte) (Fleet, []string, error) {
	if f, err := ParseFleet(name, data); err == nil {
		return f, nil, nil
	}
	root, err := parseFile(name, data)
	if err != nil {
		return Fleet{}, nil, err
	}
	usable := &yaml.Node{Kind: yaml.MappingNode, Line: root.Line}
	var problems []string
	for _, v := range values(root) {
		alone := &yaml.Node{Kind: yaml.MappingNode, Line: root.Line}
		v.addTo(alone)
		if _, err := decodeFleet(name, alone); err != nil {
			problems = append(problems, err.Error())
			continue
		}
		v.addTo(usable)
	}
	for {
		f, err := decodeFleet(name, usable)
		if err == nil {
			err = f.check(name)
		}
		if err == nil {
			return f, problems, nil
		}
		var problem *keyError
		if !errors.As(err, &problem) || !removeKey(usable, problem.key) {
			return Fleet{}, problems, err
		}
		problems = append(problems, err.Error())
	}
}

// fileValue is a value of a settings file, with the keys that lead to it.
type fileValue struct {
	path  []*yaml.Node
	value *yaml.Node
}

// values returns the values under the root: those of its sections, and those that are in
// no section.
func values(root *yaml.Node) []fileValue {
	if root.Kind != yaml.MappingNode {
		return nil
	}
	var all []fileValue
	for i := 0; i+1 < len(root.Content); i += 2 {
		key, value := root.Content[i], root.Content[i+1]
		if value.Kind != yaml.MappingNode {
			all = append(all, fileValue{[]*yaml.Node{key}, value})
			continue
		}
		for k := 0; k+1 < len(value.Content); k += 2 {
			all = append(all, fileValue{[]*yaml.Node{key, value.Content[k]}, value.Content[k+1]})
		}
	}
	return all
}

// addTo adds the value to a tree, with its section if that is not there.
func (v fileValue) addTo(tree *yaml.Node) {
	for _, key := range v.path[:len(v.path)-1] {
		section := child(tree, key.Value)
		if section == nil {
			section = &yaml.Node{Kind: yaml.MappingNode, Line: key.Line}
			tree.Content = append(tree.Content, key, section)
		}
		tree = section
	}
	tree.Content = append(tree.Content, v.path[len(v.path)-1], v.value)
}

// removeKey removes a key with its value. It reports whether the key was there.
func removeKey(tree *yaml.Node, path string) bool {
	first, rest, nested := strings.Cut(path, ".")
	for i := 0; i+1 < len(tree.Content); i += 2 {
		if tree.Content[i].Value != first {
			continue
		}
		if nested {
			return removeKey(tree.Content[i+1], rest)
		}
		tree.Content = append(tree.Content[:i], tree.Content[i+2:]...)
		return true
	}
	return false
}
