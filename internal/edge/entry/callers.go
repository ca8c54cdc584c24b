package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/callrs"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// writeTimeout is how long a caller waits for a row to be written.
	writeTimeout = 2 * time.Second
	// comeBackPause is the time after which a caller is asked back whose
	// call needed the table service while that was down.
	comeBackPause = 2 * time.Second
	// maxIDLength is the greatest length of an identifier in bytes.
	maxIDLength = 128
)

// callerAPI serves the operations of callers.
type callerAPI struct {
	*Host
}

var _ callrs.ServerInterface = callerAPI{}

func (h *Host) callerHandler() http.Handler {
	app := newApp()
	app.Get("/healthz", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/readyz", h.readiness)
	app.Get("/metrics", func(ctx iris.Context) { h.metrics.Write(ctx.ResponseWriter()) })
	callrs.RegisterHandlers(app, callerAPI{h})
	return h.closeWhenStopping(app)
}

// closeWhenStopping asks callers not to reuse connections to a host that is
// stopping.
func (h *Host) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.isStopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func newApp() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutServerError(iris.ErrServerClosed), iris.WithoutStartupLog)
	return app
}

// readiness tells the balancer whether this host takes new calls.
func (h *Host) readiness(ctx iris.Context) {
	h.view.mu.Lock()
	fresh := h.view.fresh
	h.view.mu.Unlock()
	if h.isStopping() || !fresh {
		ctx.StatusCode(http.StatusServiceUnavailable)
		return
	}
	ctx.StatusCode(http.StatusOK)
}

// Call serves one request.
func (a callerAPI) Call(ctx iris.Context) {
	request, ok := readBody[schema.CallRequest](a.Host, ctx)
	if !ok {
		return
	}
	if p := checkCall(request, time.Now()); p != nil {
		a.fail(ctx, *p)
		return
	}
	if request.Class == "" {
		request.Class = schema.Urgent
	}
	ending, ok := a.call(ctx.Request().Context(), request)
	if !ok {
		a.fail(ctx, failure(schema.OutcomeUnknown, "the call was given up by its caller"))
		return
	}
	a.end(ctx, request, ending)
}

func (a callerAPI) end(ctx iris.Context, request schema.CallRequest, ending route.Ending) {
	logev.RequestEnded.Log(a.log).Str("request", request.ID).Int("outcome", int(ending.Outcome)).
		Str("target", ending.Reply.Target).Str("reason", ending.Reason).Send()
	switch ending.Outcome {
	case route.Answered:
		a.reply(ctx, ending.Reply)
	case route.NotRun:
		a.fail(ctx, comeBack(schema.NotRun, "the request was not run: "+ending.Reason, ending.ComeBackAt))
	case route.Unknown:
		a.fail(ctx, comeBack(schema.OutcomeUnknown, "the request may have run: "+ending.Reason, ending.ComeBackAt))
	case route.Duplicate:
		a.fail(ctx, failure(schema.DuplicateID, "%s", ending.Reason))
	}
}

func checkCall(request schema.CallRequest, now time.Time) *schema.Error {
	switch {
	case !validID(request.ID):
		return problem(schema.BadRequest, "id should be 1 to %d letters, digits, dots, dashes or underscores", maxIDLength)
	case request.Kind == "":
		return problem(schema.BadRequest, "kind is missing")
	case request.Class != "" && !request.Class.Valid():
		return problem(schema.BadRequest, "class %q should be urgent or patient", request.Class)
	case !now.Before(request.Deadline):
		return problem(schema.PastDeadline, "deadline %s has passed", request.Deadline.Format(time.RFC3339Nano))
	default:
		return nil
	}
}

func validID(id string) bool {
	if id == "" || len(id) > maxIDLength {
		return false
	}
	return !strings.ContainsFunc(id, func(r rune) bool {
		plain := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		return !plain && r != '-' && r != '_' && r != '.'
	})
}
