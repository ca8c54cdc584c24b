package fleet

import (
	"fmt"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/rattanshore/rattanshore/internal/edge/store"
)

// Names of the scheduler's own tables in the platform's store.
const (
	// tableJobs holds each job under its identifier and its cancellation under
	// the identifier with cancelSuffix. Its rows are written once.
	tableJobs = "jobs"
	// tableProgress holds the progress of each job. Only the leader writes it.
	tableProgress = "progress"
	// tableLeader holds the leader row, the roster and the queue lengths. Only the
	// leader writes it.
	tableLeader = "lead"

	// tableHosts holds the address of each host under its identifier.
	tableHosts = "hosts"

	cancelSuffix = "/cancel"
)

func hostKey(id string) store.Key     { return store.Key{Table: tableHosts, Name: id} }
func jobKey(id string) store.Key      { return store.Key{Table: tableJobs, Name: id} }
func cancelKey(id string) store.Key   { return store.Key{Table: tableJobs, Name: id + cancelSuffix} }
func progressKey(id string) store.Key { return store.Key{Table: tableProgress, Name: id} }

var (
	leaderKey  = store.Key{Table: tableLeader, Name: "planner"}
	waitingKey = store.Key{Table: tableLeader, Name: "waiting"}
)

// rosterKey returns the key of one part of the roster.
func rosterKey(part int) store.Key {
	return store.Key{Table: tableLeader, Name: fmt.Sprintf("%s%02d", rosterPrefix, part)}
}

const rosterPrefix = "roster/"

// cancelledJob returns the identifier of the job that a row of tableJobs cancels.
// It reports false if the row is not a cancellation.
func cancelledJob(name string) (string, bool) {
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
