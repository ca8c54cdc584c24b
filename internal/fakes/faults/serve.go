package faults

import (
	"encoding/json"
	"net/http"

	"github.com/rattanshore/rattanshore/internal/edge/httpc"
)

// EntryHost returns the entry host that sent the request.
func EntryHost(r *http.Request) string {
	return r.Header.Get(httpc.HostHeader)
}

// HandleRead is Handle for read-only calls, which the fault LoseAnswers does
// not affect.
func HandleRead[I, O any](injector *Injector, component string, run func(r *http.Request, in I) O) http.HandlerFunc {
	return handle(injector, component, false, run)
}

// Handle decodes a request, applies the component's faults, and answers with
// what run returns.
func Handle[I, O any](injector *Injector, component string, run func(r *http.Request, in I) O) http.HandlerFunc {
	return handle(injector, component, true, run)
}

func handle[I, O any](injector *Injector, component string, mutating bool, run func(r *http.Request, in I) O) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in I
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		from := EntryHost(r)
		if !injector.Admit(r.Context(), component, from) {
			panic(http.ErrAbortHandler)
		}
		out := run(r, in)
		if mutating {
			if _, lost := injector.Match(LoseAnswers, component, from); lost {
				panic(http.ErrAbortHandler)
			}
		}
		WriteJSON(w, out)
	}
}

// WriteJSON writes out as a JSON response.
func WriteJSON(w http.ResponseWriter, out any) {
	data, err := json.Marshal(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
