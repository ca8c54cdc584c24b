package scenarios

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// decodeDocument decodes a configuration that was read from YAML, by the schema's
// JSON names.
func decodeDocument(tree any) (schema.ConfigDocument, error) {
	var document schema.ConfigDocument
	data, err := json.Marshal(tree)
	if err == nil {
		err = json.Unmarshal(data, &document)
	}
	return document, err
}

// copyLogs copies the logs of the scenario's processes to a folder.
func (h *harness) copyLogs(dir string) {
	logs, _ := filepath.Glob(filepath.Join(h.dir, "*.log"))
	for _, log := range logs {
		if data, err := os.ReadFile(log); err == nil {
			_ = os.WriteFile(filepath.Join(dir, filepath.Base(log)), data, 0o600)
		}
	}
}
