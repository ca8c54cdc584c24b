package main

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// txTime is how long a transaction takes (tx_ms of the sheet).
const txTime = 3 * time.Millisecond

type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Ver     int64  `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

type expect struct {
	rowKey
	Ver int64 `json:"ver"`
}

type transaction struct {
	Expect []expect `json:"expect"`
	Put    []row    `json:"put"`
	Remove []rowKey `json:"remove"`
}

type rowsAnswer struct {
	Rows      []row `json:"rows"`
	Truncated bool  `json:"truncated"`
	Ver       int64 `json:"ver"`
	NowMs     int64 `json:"now_ms"`
}

// store is a stand-in for the platform's metadata store: rows, conditional transactions
// and a change feed that keeps its whole history.
type store struct {
	mu      sync.Mutex
	begin   time.Time
	rows    map[rowKey]row
	history []row
	ver     int64
	changed chan struct{}

	// silentUntil is until when no call is answered or carried out.
	silentUntil time.Time
	// late decides on a transaction that arrives while the store is silent: how much
	// later it is carried out; 0 means never.
	late func(tx transaction) time.Duration
	log  func(format string, args ...any)
}

func newStore(log func(string, ...any)) *store {
	return &store{begin: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), log: log}
}

func (s *store) nowMs() int64 { return time.Since(s.begin).Milliseconds() + 1 }

// apply carries a transaction out if its conditions hold.
func (s *store) apply(tx transaction) (bool, rowsAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok, current := true, []row{}
	for _, e := range tx.Expect {
		r := s.rows[e.rowKey]
		ok = ok && r.Ver == e.Ver
		if r.Ver > 0 {
			current = append(current, r)
		}
	}
	if !ok {
		return false, rowsAnswer{Rows: current, Ver: s.ver, NowMs: s.nowMs()}
	}
	s.ver++
	for _, p := range tx.Put {
		r := row{rowKey: p.rowKey, Value: p.Value, Ver: s.ver}
		s.rows[p.rowKey] = r
		s.history = append(s.history, r)
	}
	for _, k := range tx.Remove {
		if _, there := s.rows[k]; there {
			delete(s.rows, k)
			s.history = append(s.history, row{rowKey: k, Ver: s.ver, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return true, rowsAnswer{Rows: []row{}, Ver: s.ver, NowMs: s.nowMs()}
}

// put writes a row as the operator or a minion does.
func (s *store) put(table, key string, value any) {
	data, _ := json.Marshal(value)
	s.apply(transaction{Put: []row{{rowKey: rowKey{Table: table, Key: key}, Value: data}}})
}

func (s *store) remove(table, key string) {
	s.apply(transaction{Remove: []rowKey{{Table: table, Key: key}}})
}

func (s *store) get(k rowKey) (row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[k]
	return r, ok
}

// silence makes the store answer nothing for the time.
func (s *store) silence(d time.Duration) {
	s.mu.Lock()
	s.silentUntil = time.Now().Add(d)
	s.mu.Unlock()
}

func (s *store) silent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.silentUntil)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.silent() {
		s.hold(r, body)
		panic(http.ErrAbortHandler)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rattanshore/rows-tx":
		s.serveTx(w, body)
	case "/rattanshore/rows-get":
		s.serveGet(w, rowKey{Table: q.Get("table"), Part: q.Get("part")}, q.Get("from"), q.Get("target"), q.Get("limit"))
	case "/rattanshore/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// hold leaves a call unanswered. A transaction may be carried out later.
func (s *store) hold(r *http.Request, body []byte) {
	var tx transaction
	if strings.HasSuffix(r.URL.Path, "/rows-tx") && json.Unmarshal(body, &tx) == nil && s.late != nil {
		if d := s.late(tx); d > 0 {
			received := time.Now()
			time.AfterFunc(d, func() {
				done, _ := s.apply(tx)
				s.log("store carries out a call that it left unanswered %.1f s before: conditions held: %v", time.Since(received).Seconds(), done)
			})
		}
	}
	<-r.Context().Done()
}

func (s *store) serveTx(w http.ResponseWriter, body []byte) {
	var tx transaction
	if json.Unmarshal(body, &tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if len(tx.Expect)+len(tx.Put)+len(tx.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range tx.Put {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	time.Sleep(txTime)
	ok, answer := s.apply(tx)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, answer)
}

func (s *store) serveGet(w http.ResponseWriter, at rowKey, from, to, limit string) {
	most := 500
	if n, err := strconv.Atoi(limit); err == nil && n > 0 && n < most {
		most = n
	}
	s.mu.Lock()
	answer := rowsAnswer{Rows: []row{}, Ver: s.ver, NowMs: s.nowMs()}
	for k, r := range s.rows {
		if k.Table == at.Table && k.Part == at.Part && k.Key >= from && (to == "" || k.Key < to) {
			answer.Rows = append(answer.Rows, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(answer.Rows, func(i, j int) bool { return answer.Rows[i].Key < answer.Rows[j].Key })
	if len(answer.Rows) > most {
		answer.Rows, answer.Truncated = answer.Rows[:most], true
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		answer, changed := rowsAnswer{Rows: []row{}, Ver: s.ver, NowMs: s.nowMs()}, s.changed
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Ver > after })
		for _, h := range s.history[first:] {
			if h.Table == q.Get("table") {
				answer.Rows = append(answer.Rows, h)
			}
		}
		s.mu.Unlock()
		if len(answer.Rows) > 0 {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			if s.silent() {
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
			writeJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
		if s.silent() {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
