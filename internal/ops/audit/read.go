package audit

import (
	"bytes"
	"encoding/json"

	"github.com/rattanshore/rattanshore/internal/ops/place"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// ReadShards decodes the product's document from YAML or JSON. It also returns
// findings on the document's form. The third result is false if the document
// cannot be sent.
func ReadShards(data []byte) (schema.ConfigDocument, *place.Tree, bool, []Finding) {
	var document schema.ConfigDocument
	tree, where, err := readTree(data)
	if err != nil {
		return document, nil, false, []Finding{Syntax(where, err)}
	}
	if f, ok := otherKind(tree); ok {
		return document, tree, false, []Finding{f}
	}
	// The two passes over a large document take about as long as each other.
	checked := make(chan []Finding)
	go func() {
		checked <- Structure(tree.Check(schema.ConfigDocument{}), func(place.Problem) Severity { return Error })
	}()
	err = decodeStrict(tree.JSON(), &document)
	if findings := <-checked; len(findings) > 0 {
		return schema.ConfigDocument{}, tree, false, findings
	}
	if err != nil {
		return document, tree, false, []Finding{Syntax(tree.Find(), err)}
	}
	return document, tree, true, nil
}

// readTree reads a document that starts like JSON as JSON, which is faster, and
// any other as YAML.
func readTree(data []byte) (*place.Tree, place.Place, error) {
	if bytes.HasPrefix(bytes.TrimLeft(data, " \t\r\n"), []byte("{")) {
		if tree, where, err := place.JSON(data); err == nil {
			return tree, where, nil
		}
	}
	return place.YAML(data)
}

func decodeStrict(data []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}

// ReadVersion decodes the version in force from a document, or from the answer of
// a host that holds the document and its version.
func ReadVersion(data []byte) (schema.ConfigDocument, error) {
	var answer schema.ConfigVersion
	tree, _, err := readTree(data)
	if err != nil {
		return schema.ConfigDocument{}, err
	}
	if tree.Has("document") {
		err = decodeStrict(tree.JSON(), &answer)
		return answer.Document, err
	}
	err = decodeStrict(tree.JSON(), &answer.Document)
	return answer.Document, err
}

// otherKind returns a finding for a file that is not the product's document.
func otherKind(tree *place.Tree) (Finding, bool) {
	f := Finding{Severity: Error, Rule: "kind", Place: tree.Find()}
	switch {
	case tree.Has("shards"):
		return f, false
	case tree.Has("listen"):
		f.Problem, f.Want = "the file holds a host's settings", "rattanshore config check FILE"
	case tree.Has("routes") || tree.Has("tenants"):
		f.Problem, f.Want = "the file holds the platform's document", "rattanshore document check --platform FILE"
	}
	return f, f.Problem != ""
}
