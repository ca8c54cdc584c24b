package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The platform's limits on one transaction and on one answer.
const (
	maxEntries  = 100
	maxRowBytes = 65536
	maxTxBytes  = 1 << 20
	pageRows    = 500
	txTime      = 3 * time.Millisecond
)

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type storedRow struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowsAnswer struct {
	Rows      []storedRow `json:"rows"`
	Truncated bool        `json:"truncated"`
	Version   int64       `json:"ver"`
	Clock     int64       `json:"now_ms"`
}

// store is a stand-in of the platform's metadata store. It keeps all history.
type store struct {
	mu      sync.Mutex
	started time.Time
	version int64
	rows    map[rowKey]storedRow
	history []storedRow
	changed chan struct{}
	// hold, if set, tells how long a read waits before it is carried out.
	hold func(r *http.Request) time.Duration
}

func newStore() *store {
	return &store{started: time.Now(), rows: map[rowKey]storedRow{}, changed: make(chan struct{})}
}

// put writes a row as the operator or a minion does.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storedRow{rowKey: rowKey{Table: table, Key: key}, Value: data, Version: s.version})
}

// apply writes or removes one row. The caller holds s.mu.
func (s *store) apply(r storedRow) {
	if r.Deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.history = append(s.history, r)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) clock() int64 {
	return time.Since(s.started).Milliseconds()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	hold := s.hold
	s.mu.Unlock()
	if hold != nil {
		time.Sleep(hold(r))
	}
	switch {
	case strings.HasSuffix(r.URL.Path, "/rows-tx"):
		s.transact(w, r)
	case strings.HasSuffix(r.URL.Path, "/rows-get"):
		s.get(w, r)
	case strings.HasSuffix(r.URL.Path, "/rows-feed"):
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expect []storedRow `json:"expect"`
		Put    []storedRow `json:"put"`
		Remove []rowKey    `json:"remove"`
		Across bool        `json:"across"`
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxBytes)).Decode(&tx) != nil ||
		len(tx.Expect)+len(tx.Put)+len(tx.Remove) > maxEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, e := range tx.Expect {
		parts[e.Part] = true
	}
	for _, p := range tx.Put {
		parts[p.Part] = true
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(p.Value) > maxRowBytes {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for _, k := range tx.Remove {
		parts[k.Part] = true
	}
	if len(parts) > 1 && !tx.Across {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	s.mu.Lock()
	answer := rowsAnswer{Rows: []storedRow{}}
	holds := true
	for _, e := range tx.Expect {
		current := s.rows[e.rowKey]
		current.rowKey = e.rowKey
		answer.Rows = append(answer.Rows, current)
		holds = holds && current.Version == e.Version
	}
	if holds {
		s.version++
		answer.Rows = []storedRow{}
		for _, p := range tx.Put {
			s.apply(storedRow{rowKey: p.rowKey, Value: p.Value, Version: s.version})
		}
		for _, k := range tx.Remove {
			s.apply(storedRow{rowKey: k, Version: s.version, Deleted: true})
		}
	}
	answer.Version, answer.Clock = s.version, s.clock()
	s.mu.Unlock()
	status := http.StatusOK
	if !holds {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, answer)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil && n < limit {
		limit = n
	}
	s.mu.Lock()
	answer := rowsAnswer{Rows: []storedRow{}, Version: s.version, Clock: s.clock()}
	for k, row := range s.rows {
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target")) {
			answer.Rows = append(answer.Rows, row)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(a, b storedRow) int { return cmp.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.Truncated = answer.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		answer := rowsAnswer{Rows: []storedRow{}, Version: s.version, Clock: s.clock()}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(r storedRow, v int64) int { return cmp.Compare(r.Version, v) })
		for _, row := range s.history[first:] {
			if row.Table == q.Get("table") {
				answer.Rows = append(answer.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
