package fleet

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/rattanshore/rattanshore/internal/edge/store"
)

// Names of the scheduler's own tables in the platform's store.
const (
	// tableJobs holds each job under its identifier and its cancellation under
	// the identifier with cancelSuffix. These rows are written once. A job that was
	// cancelled while it was not stored has a tombstone under its identifier.
	tableJobs = "jobs"
	// tableProgress holds the progress of each job, that of many tasks in several rows.
	// Only the leader writes it.
	tableProgress = "progress"
	// tableLeader holds the leader row, the roster and the queue lengths. Only the
	// leader writes it.
	tableLeader = "lead"

	// tableHosts holds the address of each host under its identifier.
	tableHosts = "hosts"

	cancelSuffix = "/cancel"
)

// partHosts is the part of the hosts' rows.
const partHosts = "hosts"

// jobParts lists the parts over which jobs and cancellations are spread by the
// first digit of the job's identifier. Without them every submission would wait for
// all others, and for the leader, when the store is slow. The unnamed part holds
// jobs of earlier versions.
var jobParts = []string{"", "0", "1", "2", "3", "4", "5", "6", "7", "8", "9", "a", "b", "c", "d", "e", "f"}

// jobPart returns the part of a job's rows.
func jobPart(id string) string {
	if id == "" {
		return ""
	}
	return strings.ToLower(id[:1])
}

func hostKey(id string) store.Key {
	return store.Key{Table: tableHosts, Part: partHosts, Name: id}
}

func jobKey(id string) store.Key {
	return store.Key{Table: tableJobs, Part: jobPart(id), Name: id}
}

func cancelKey(id string) store.Key {
	return store.Key{Table: tableJobs, Part: jobPart(id), Name: id + cancelSuffix}
}

// progressKey returns the key of the row that holds the job's state.
func progressKey(id string) store.Key {
	return store.Key{Table: tableProgress, Name: id}
}

// progressPartKey returns the key of one row of the job's progress. Part 0 holds its state.
func progressPartKey(id string, part int) store.Key {
	if part == 0 {
		return progressKey(id)
	}
	return store.Key{Table: tableProgress, Name: id + partSeparator + strconv.Itoa(part)}
}

// progressPartOf returns the job and the number of a row of progress.
func progressPartOf(name string) (id string, part int, ok bool) {
	id, number, found := strings.Cut(name, partSeparator)
	if !found {
		return id, 0, true
	}
	part, err := strconv.Atoi(number)
	return id, part, err == nil && part > 0
}

// partSeparator separates a job from the number of a row of its progress.
const partSeparator = "/"

var (
	leaderKey  = store.Key{Table: tableLeader, Name: "planner"}
	waitingKey = store.Key{Table: tableLeader, Name: "waiting"}
	// runTimesKey is that of what the leader has learned from finished runs.
	runTimesKey = store.Key{Table: tableLeader, Name: "run-times"}
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

// rowMode encodes times with their fractions of a second, which deadlines of urgent
// jobs depend on.
var rowMode, errRowMode = cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()

// encode returns the stored form of a value.
func encode(value any) ([]byte, error) {
	if errRowMode != nil {
		return nil, errRowMode
	}
	return rowMode.Marshal(value)
}

// decode reads a stored value.
func decode(data []byte, into any) error {
	plain, err := unpacked(data)
	if err != nil {
		return err
	}
	return unmarshal(plain, into)
}

func unmarshal(data []byte, into any) error {
	return cbor.Unmarshal(data, into)
}
