// Package tables puts the stand-in of the platform's store under the faults of
// a board, and serves the platform's lagging list of workers and targets.
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
	"github.com/rattanshore/rattanshore/platform/stand"
)

// The names under which faults are set.
const (
	TableName = "table"
	HostsName = "hosts"
)

// Table is the store and the host list.
type Table struct {
	*stand.Store
	board *faults.Board

	mu       sync.Mutex
	hosts    []plat.Host
	snapshot []dated
}

type dated struct {
	at    time.Time
	hosts []plat.Host
}

// New returns an empty store without hosts.
func New(board *faults.Board) *Table {
	t := &Table{board: board}
	t.Store = stand.NewStore(never, t.note)
	return t
}

// never is the chance that an answer is lost by itself; the board says which
// are.
func never() float64 { return 1 }

// Handler serves the store and the host list.
func (t *Table) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/rattanshore/", t.serve)
	mux.HandleFunc("POST /hosts", faults.HandleRead(t.board, HostsName, func(*http.Request, struct{}) plat.HostList {
		return t.List()
	}))
	return mux
}

// serve lets a call to the store suffer the faults of the board.
func (t *Table) serve(w http.ResponseWriter, r *http.Request) {
	from := r.UserAgent()
	if !t.board.Pass(r.Context(), TableName, from) {
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodPost {
		t.ServeHTTP(w, r)
		return
	}
	if _, lost := t.board.Find(faults.LoseAnswers, TableName, from); lost {
		t.ServeHTTP(unsent{}, r)
		panic(http.ErrAbortHandler)
	}
	t.ServeHTTP(w, r)
}

// unsent is an answer that nobody gets.
type unsent struct{}

func (unsent) Header() http.Header            { return http.Header{} }
func (unsent) Write(data []byte) (int, error) { return len(data), nil }
func (unsent) WriteHeader(int)                {}

// note keeps the rows that the promises are about in the history.
func (t *Table) note(from string, w stand.Written) {
	for _, prefix := range []string{"config/current", "domain/", "job/", "request/", "shard/"} {
		if strings.HasPrefix(w.Name, prefix) {
			t.board.Note(check.Record{Kind: check.RowWritten, Who: from, Key: w.Name, Version: w.Version, Body: string(w.Value)})
			return
		}
	}
}

// Dump returns all rows by name, for a report.
func (t *Table) Dump() map[string]json.RawMessage {
	dump := map[string]json.RawMessage{}
	for _, table := range []string{rows.Shared, rows.ShardJobs, rows.PastJobs, rows.Pointers, rows.Requests, rows.Configs} {
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

// List returns the host list as old as the lag fault says.
func (t *Table) List() plat.HostList {
	now := time.Now()
	t.mu.Lock()
	hosts := slices.Clone(t.hosts)
	t.mu.Unlock()
	for i := range hosts {
		if _, leaving := t.board.Find(faults.Leaving, hosts[i].ID, ""); leaving {
			hosts[i].Leaving = true
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.snapshot = append(t.snapshot, dated{at: now, hosts: hosts})
	if len(t.snapshot) > 256 {
		t.snapshot = t.snapshot[128:]
	}
	chosen := t.snapshot[len(t.snapshot)-1]
	if f, lagging := t.board.Find(faults.Lag, HostsName, ""); lagging {
		chosen = t.asOf(now.Add(-f.Delay))
	}
	return plat.HostList{Hosts: chosen.hosts, AsOf: chosen.at}
}

func (t *Table) asOf(at time.Time) dated {
	chosen := t.snapshot[0]
	for _, s := range t.snapshot {
		if s.at.After(at) {
			break
		}
		chosen = s
	}
	return chosen
}
