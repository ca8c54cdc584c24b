package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// txTime is how long a transaction takes; one in several parts takes twice as long.
	txTime = 3 * time.Millisecond
	// maxTxEntries, maxTxBytes and maxRowBytes are the limits of the platform's page.
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
	maxRowBytes  = 65536
	// maxRangeRows limits the rows of one answer.
	maxRangeRows = 500
	// history is how long changes are kept for the feed.
	history = 20 * time.Second
)

// rowKey names a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row, or the removal of one, as of a version.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
	at      time.Time
}

// expectation is the version that a row must have.
type expectation struct {
	rowKey
	Version int64 `json:"ver"`
}

// transaction is the body of rows-tx.
type transaction struct {
	Expect []expectation `json:"expect"`
	Put    []struct {
		rowKey
		Value []byte `json:"value"`
	} `json:"put"`
	Remove []rowKey `json:"remove"`
	Across bool     `json:"across"`
}

// rowsAnswer is the answer to any call about rows.
type rowsAnswer struct {
	Rows      []row `json:"rows"`
	Truncated bool  `json:"truncated"`
	Version   int64 `json:"ver"`
	Now       int64 `json:"now_ms"`
}

// store is the stand-in of the platform's metadata store.
type store struct {
	begin time.Time
	addr  string

	mu      sync.Mutex
	rows    map[rowKey]row
	changes []row
	dropped int64
	version int64
	changed chan struct{}
	parts   map[string]*sync.Mutex

	// busy makes the store answer every call of the system with 503.
	busy atomic.Bool
	// rejected counts transactions that exceed a limit of the page.
	rejected atomic.Int64
}

func newStore(rec *record) (*store, error) {
	s := &store{begin: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), parts: map[string]*sync.Mutex{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = listener.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rattanshore/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.serveTx(w, r, rec) })
	mux.HandleFunc("GET /rattanshore/rows-get", s.serveGet)
	mux.HandleFunc("GET /rattanshore/rows-feed", s.serveFeed)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// write puts a row for the operator or a worker.
func (s *store) write(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.put(row{rowKey: rowKey{Table: table, Key: key}, Value: data, Version: s.version})
	s.wake()
}

// put stores a row. The caller holds s.mu.
func (s *store) put(r row) {
	r.at = time.Now()
	if r.Deleted {
		delete(s.rows, r.rowKey)
	} else {
		s.rows[r.rowKey] = r
	}
	s.changes = append(s.changes, r)
	for len(s.changes) > 0 && time.Since(s.changes[0].at) > history {
		s.dropped = s.changes[0].Version
		s.changes = s.changes[1:]
	}
}

// wake ends the waits of feeds. The caller holds s.mu.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, a rowsAnswer) {
	a.Now = time.Since(s.begin).Milliseconds() + 1
	if a.Rows == nil {
		a.Rows = []row{}
	}
	reply(w, status, a)
}

func (s *store) serveTx(w http.ResponseWriter, r *http.Request, rec *record) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	var tx transaction
	if json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if status, why := tx.check(len(body)); status != 0 {
		if s.rejected.Add(1) <= 5 {
			rec.add("store", "rejects a transaction with %d: %s", status, why)
		}
		w.WriteHeader(status)
		return
	}
	part := s.part(tx.part())
	part.Lock()
	time.Sleep(txTime)
	applied, a := s.apply(tx)
	part.Unlock()
	if applied {
		s.answer(w, http.StatusOK, a)
	} else {
		s.answer(w, http.StatusPreconditionFailed, a)
	}
}

// check returns the status for a transaction that exceeds a limit, or 0.
func (t transaction) check(size int) (int, string) {
	if len(t.Expect)+len(t.Put)+len(t.Remove) > maxTxEntries || size > maxTxBytes {
		return http.StatusRequestEntityTooLarge, "too many entries or bytes"
	}
	parts := map[string]bool{}
	for _, p := range t.Put {
		parts[p.Part] = true
		if p.Table == "op" || p.Table == "servers" {
			return http.StatusForbidden, "table " + p.Table
		}
		if len(p.Value) > maxRowBytes {
			return http.StatusBadRequest, "row " + p.Table + "/" + p.Key + " has " + strconv.Itoa(len(p.Value)) + " bytes"
		}
	}
	for _, e := range t.Expect {
		parts[e.Part] = true
	}
	for _, k := range t.Remove {
		parts[k.Part] = true
	}
	if len(parts) > 1 && !t.Across {
		return http.StatusBadRequest, "several parts"
	}
	return 0, ""
}

func (t transaction) part() string {
	if len(t.Put) > 0 {
		return t.Put[0].Part
	}
	return ""
}

func (s *store) part(name string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.parts[name] == nil {
		s.parts[name] = &sync.Mutex{}
	}
	return s.parts[name]
}

// apply carries out a transaction if its conditions hold.
func (s *store) apply(tx transaction) (bool, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, e := range tx.Expect {
		r, there := s.rows[e.rowKey]
		if there {
			current = append(current, r)
		}
		holds = holds && r.Version == e.Version
	}
	if !holds {
		return false, rowsAnswer{Rows: current, Version: s.version}
	}
	s.version++
	for _, p := range tx.Put {
		s.put(row{rowKey: p.rowKey, Value: p.Value, Version: s.version})
	}
	for _, k := range tx.Remove {
		if _, there := s.rows[k]; there {
			s.put(row{rowKey: k, Version: s.version, Deleted: true})
		}
	}
	s.wake()
	return true, rowsAnswer{Version: s.version}
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	if s.busy.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > maxRangeRows {
		limit = maxRangeRows
	}
	s.mu.Lock()
	var rows []row
	for k, v := range s.rows {
		to := q.Get("target")
		if k.Table == q.Get("table") && k.Part == q.Get("part") && k.Key >= q.Get("from") && (to == "" || k.Key < to) {
			rows = append(rows, v)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	a := rowsAnswer{Version: version}
	size := 0
	for _, v := range rows {
		if size += len(v.Value); len(a.Rows) == limit || len(a.Rows) > 0 && size > maxTxBytes {
			a.Truncated = true
			break
		}
		a.Rows = append(a.Rows, v)
	}
	s.answer(w, http.StatusOK, a)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if s.busy.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		a := rowsAnswer{Version: s.version}
		first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > after })
		for _, c := range s.changes[first:] {
			if c.Table == q.Get("table") {
				a.Rows = append(a.Rows, c)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(a.Rows) > 0 {
			s.answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-until:
			s.answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
