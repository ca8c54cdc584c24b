package fleet

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/rattanshore/rattanshore/internal/core/plan"
	"github.com/rattanshore/rattanshore/internal/wire/record"
)

// storeRowBytes is the largest value that the platform's store accepts.
const storeRowBytes = 65536

// progressOf returns the progress of a job with so many tasks, each placed or done.
func progressOf(id string, tasks int, done bool) record.Progress {
	p := record.Progress{ID: id, State: record.Running, Attempt: 1}
	for i := range tasks {
		g := record.GangProgress{Attempt: 1, First: i, Done: done}
		if !done {
			g.Places = []record.Place{{Index: i, Worker: fmt.Sprintf("i-%012x", i*7919%540)}}
		}
		p.Gangs = append(p.Gangs, g)
	}
	return p
}

// Guards against a row of progress that changes when it is stored, compressed or not.
func TestLargeProgress(t *testing.T) {
	for _, p := range []record.Progress{
		progressOf("a", 0, true), progressOf("a", 700, false), progressOf("a", 5000, false), progressOf("a", 20000, true),
	} {
		value, _, err := encodeProgress(p)
		if err != nil {
			t.Fatal(err)
		}
		if len(value) > storeRowBytes {
			t.Errorf("%d gangs take %d bytes", len(p.Gangs), len(value))
		}
		var read record.Progress
		if err := decode(value, &read); err != nil || !reflect.DeepEqual(read, p) {
			t.Errorf("%d gangs were read as %d: %v", len(p.Gangs), len(read.Gangs), err)
		}
	}
}

// Guards against a stored row that ends a process.
func TestUnreadableProgress(t *testing.T) {
	complete, _, err := encodeProgress(progressOf("a", 5000, false))
	if err != nil {
		t.Fatal(err)
	}
	for _, data := range [][]byte{nil, {0x40}, {0x41, 0xff}, []byte("foreign"), complete[:len(complete)/2], {0x5f, 0xff}} {
		var p record.Progress
		if err := decode(data, &p); err == nil {
			t.Errorf("%.20x was read as %+v", data, p)
		}
	}
}

// Guards against a batch that the store accepts never, and against the removal of
// a job's progress without the job, which would be run again.
func TestBatchIsSplit(t *testing.T) {
	cmd := plan.WriteCmd{Waiting: &record.Waiting{}}
	for i := range 75 {
		cmd.Progress = append(cmd.Progress, progressOf(fmt.Sprintf("%016x", i), 400, false))
		cmd.Deleted = append(cmd.Deleted, fmt.Sprintf("%016x", 1000+i))
	}
	b, err := newBatch(cmd)
	if err != nil {
		t.Fatal(err)
	}
	rows, removed := 0, 0
	for _, change := range b.changes {
		size := 0
		for _, r := range change.Put {
			size += len(r.Value)
		}
		rows += len(change.Put)
		removed += len(change.Remove)
		if entries := len(change.Put) + len(change.Remove); entries > maxEntries || size > maxChangeBytes {
			t.Errorf("a transaction has %d entries and %d bytes", entries, size)
		}
		for i, key := range change.Remove {
			if key.Table == tableProgress && (i+2 >= len(change.Remove) || change.Remove[i+1].Name != key.Name) {
				t.Errorf("the progress of %s is removed without the job", key.Name)
			}
		}
	}
	if rows != 76 || removed != 225 {
		t.Errorf("%d rows written and %d removed, want 76 and 225", rows, removed)
	}
	if empty, err := newBatch(plan.WriteCmd{}); err != nil || len(empty.changes) != 1 {
		t.Errorf("an empty batch has %d transactions: %v", len(empty.changes), err)
	}
}
