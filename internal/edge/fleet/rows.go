package fleet

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/rattanshore/rattanshore/internal/edge/store"
)

// The project's own tables in the platform's store.
const (
	// tableJobs holds a job under its identifier and its cancellation under
	// the identifier and cancelSuffix. Nothing in it is written twice.
	tableJobs = "jobs"
	// tableProgress holds how far each job is, written by the leader alone.
	tableProgress = "progress"
	// tableLead holds the leader's row and what only the leader writes beside.
	tableLead = "lead"

	cancelSuffix = "/cancel"
)

func jobKey(id string) store.Key      { return store.Key{Table: tableJobs, Name: id} }
func cancelKey(id string) store.Key   { return store.Key{Table: tableJobs, Name: id + cancelSuffix} }
func progressKey(id string) store.Key { return store.Key{Table: tableProgress, Name: id} }

var (
	leaderKey  = store.Key{Table: tableLead, Name: "planner"}
	waitingKey = store.Key{Table: tableLead, Name: "waiting"}
)

// rosterKey returns the key of one part of the roster.
func rosterKey(part int) store.Key {
	return store.Key{Table: tableLead, Name: fmt.Sprintf("%s%02d", rosterPrefix, part)}
}

const rosterPrefix = "roster/"

// cancelled returns the job that a row of the job table cancels.
func cancelled(name string) (string, bool) {
	return strings.CutSuffix(name, cancelSuffix)
}

// encode returns the stored form of a value.
func encode(value any) ([]byte, error) {
	return cbor.Marshal(value)
}

// decode reads a stored value.
func decode(data []byte, into any) error {
	return cbor.Unmarshal(data, into)
}
