// Package tables serves fakes of the platform's store and of its list of workers
// and targets, subject to injected faults.
package tables

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/core/rows"
	"github.com/rattanshore/rattanshore/internal/fakes/faults"
	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
	"github.com/rattanshore/rattanshore/platform/fake"
)

// The names of the store and the host list in faults.
const (
	TableName = "table"
	HostsName = "hosts"
)

// Table is a fake of the store and the host list.
type Table struct {
	*fake.Store
	injector *faults.Injector

	mu        sync.Mutex
	hosts     []plat.Host
	snapshots []hostSnapshot
}

// hostSnapshot is the host list as it was at a time.
type hostSnapshot struct {
	at    time.Time
	hosts []plat.Host
}

// New returns a Table without rows and hosts.
func New(injector *faults.Injector) *Table {
	t := &Table{injector: injector}
	t.Store = fake.NewStore(noRandomLoss, t.recordWrite)
	return t
}

// noRandomLoss returns 1, which is never below a loss probability, so that the
// store itself loses no answer. Only the fault LoseAnswers does that.
func noRandomLoss() float64 { return 1 }

// Handler serves the store and the host list.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/rattanshore/", t.serve)
	mux.HandleFunc("POST /hosts", faults.HandleRead(t.injector, HostsName, func(*http.Request, struct{}) plat.HostList {
		return t.HostList()
	}))
	return mux
}

// serve applies the injected faults to a call to the store. LoseAnswers affects
// writes only.
func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	from := r.UserAgent()
	if !t.injector.Admit(r.Context(), TableName, from) {
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodPost {
		t.ServeHTTP(w, r)
		return
	}
	if _, lost := t.injector.Match(faults.LoseAnswers, TableName, from); lost {
		t.ServeHTTP(discardWriter{}, r)
		panic(http.ErrAbortHandler)
	}
	t.ServeHTTP(w, r)
}

// discardWriter discards a response, so that a write takes effect without an
// answer.
type discardWriter struct{}

func (discardWriter) Header() http.Header            { return http.Header{} }
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discardWriter) WriteHeader(int)                {}

// recordWrite records writes of the rows that the history checks need.
func (t *Table) recordWrite(from string, w fake.WrittenRow) {
	for _, prefix := range []string{"config/current", "domain/", "job/", "request/", "shard/"} {
		if strings.HasPrefix(w.Name, prefix) {
			t.injector.Record(check.Record{Kind: check.RowWritten, Who: from, Key: w.Name, Version: w.Version, Body: string(w.Value)})
			return
		}
	}
}

// Dump returns all rows by name.
func (t *Table) Dump() map[string]json.RawMessage {
	dump := map[string]json.RawMessage{}
	for _, table := range []string{rows.Shared, rows.ShardJobs, rows.EndedJobs, rows.JobShards, rows.Tombstones, rows.Requests, rows.Configs} {
		for name, value := range t.Rows(table) {
			dump[name] = value
		}
	}
	return dump
}

// SetHosts replaces the host list.
func (t *Table) SetHosts(hosts []plat.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hosts = slices.Clone(hosts)
}

// HostList returns the current host list, or an older one under the fault Lag.
func (t *Table) HostList() plat.HostList {
	now := time.Now()
	t.mu.Lock()
	hosts := slices.Clone(t.hosts)
	t.mu.Unlock()
	for i := range hosts {
		if _, leaving := t.injector.Match(faults.Leaving, hosts[i].ID, ""); leaving {
			hosts[i].Leaving = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshots = append(t.snapshots, hostSnapshot{at: now, hosts: hosts})
	if len(t.snapshots) > 256 {
		t.snapshots = t.snapshots[128:]
	}
	chosen := t.snapshots[len(t.snapshots)-1]
	if f, lagging := t.injector.Match(faults.Lag, HostsName, ""); lagging {
		chosen = t.snapshotAt(now.Add(-f.Delay))
	}
	return plat.HostList{Hosts: chosen.hosts, AsOf: chosen.at}
}

// snapshotAt returns the newest snapshot that is not newer than at, or the
// oldest one kept.
func (t *Table) snapshotAt(at time.Time) hostSnapshot {
	latest := t.snapshots[0]
	for _, s := range t.snapshots {
		if s.at.After(at) {
			break
		}
		latest = s
	}
	return latest
}
