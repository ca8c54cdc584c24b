// Package target is a fake of target instances, which by default have 8 slots
// and 64 connections. The body of a request states how long it runs.
package target

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanshore/rattanshore/internal/fakes/faults"
	"github.com/rattanshore/rattanshore/internal/proof/check"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
)

// Target is a simulated target instance.
type Target struct {
	host     plat.Host
	injector *faults.Injector

	mu     sync.Mutex
	busy   int
	lastID string
}

// New returns an idle target.
func New(host plat.Host, injector *faults.Injector) *Target {
	return &Target{host: host, injector: injector}
}

// Handler serves the target's calls.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /target", t.serve)
	return mux
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	var call plat.TargetCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	from := faults.EntryHost(r)
	if !t.injector.Admit(r.Context(), t.host.ID, from) {
		panic(http.ErrAbortHandler)
	}
	if refusal := t.admit(call, from); refusal != "" {
		t.injector.Record(check.Record{Kind: check.RequestRefused, Who: t.host.ID, Request: call.ID, Detail: refusal})
		faults.WriteJSON(w, plat.TargetReply{ID: call.ID, Refusal: refusal, Busy: t.busySlots()})
		return
	}
	t.run(w, r, call, from)
}

// admit takes a slot for the call, or returns why the call is refused.
func (t *Target) admit(call plat.TargetCall, from string) string {
	now := time.Now()
	if now.After(call.Deadline) || !call.StartBy.IsZero() && now.After(call.StartBy) {
		return "deadline has passed"
	}
	if _, refuse := t.injector.Match(faults.Refuse, t.host.ID, from); refuse {
		return "not taking requests"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy >= t.host.Slots {
		return "no free slot"
	}
	t.busy++
	return ""
}

func (t *Target) busySlots() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy
}

func (t *Target) run(w http.ResponseWriter, r *http.Request, call plat.TargetCall, from string) {
	t.injector.Record(check.Record{Kind: check.RequestRan, Who: t.host.ID, Domain: t.host.Domain, Request: call.ID})
	time.Sleep(runDuration(call.Body))
	t.mu.Lock()
	t.busy--
	previous := t.lastID
	t.lastID = call.ID
	t.mu.Unlock()
	body := ExpectedReply(call)
	reply := plat.TargetReply{ID: call.ID, Ran: true, Body: body, Length: len(body), Digest: Digest(body), Busy: t.busySlots()}
	if _, cross := t.injector.Match(faults.Cross, t.host.ID, from); cross {
		reply.ID = previous
	}
	if _, cut := t.injector.Match(faults.Truncate, t.host.ID, from); cut {
		reply.Body = reply.Body[:len(reply.Body)/2]
	}
	if _, lost := t.injector.Match(faults.LoseAnswers, t.host.ID, from); lost || r.Context().Err() != nil {
		panic(http.ErrAbortHandler)
	}
	faults.WriteJSON(w, reply)
}

// ExpectedReply returns the body of the correct answer to a call, for tests to
// compare with.
func ExpectedReply(call plat.TargetCall) string {
	return fmt.Sprintf("%s %s: %s", call.Kind, call.ID, call.Body)
}

// Digest returns the digest that targets send with a body.
func Digest(body string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(body))
}

// runDuration returns the duration that run-for in a request's body states.
func runDuration(body string) time.Duration {
	values, err := url.ParseQuery(body)
	if err != nil {
		return 0
	}
	d, err := time.ParseDuration(values.Get("run-for"))
	if err != nil {
		return time.Millisecond
	}
	return d
}
