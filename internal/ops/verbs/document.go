package verbs

import (
	"bytes"
	"encoding/json"
)

// decodeStrict decodes a tree of plain values into target by the JSON names of
// its fields. An unknown name is an error.
func decodeStrict(tree, target any) error {
	data, err := json.Marshal(tree)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
