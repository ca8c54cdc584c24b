package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/rattanshore/rattanshore/internal/core/route"
	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/callrs"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

const (
	// writeTimeout limits how long a call waits for a write.
	writeTimeout = 2 * time.Second
	// unavailableRetryDelay is the delay after which callers are asked to retry
	// a call that failed because the store was down.
	unavailableRetryDelay = 2 * time.Second
	// maxIDLength is the maximum length of an identifier in bytes.
	maxIDLength = 128
)

// callerAPI implements the API for callers.
type callerAPI struct {
	*Host
	listing listing
}

var _ callrs.ServerInterface = callerAPI{}

func (h *Host) callerHandler() http.Handler {
	app := newApp()
	app.Get("/healthz", func(ctx iris.Context) { ctx.StatusCode(http.StatusOK) })
	app.Get("/readyz", h.readiness)
	app.Get("/metrics", func(ctx iris.Context) { h.metrics.Write(ctx.ResponseWriter()) })
	callrs.RegisterHandlers(app, callerAPI{h, newListing()})
	return h.closeWhenStopping(app)
}

// closeWhenStopping closes connections after their response while the host is
// stopping, so that callers do not reuse them.
func (h *Host) closeWhenStopping(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if h.isStopping() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// newApp returns an application without the framework's own log output.
func newApp() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutServerError(iris.ErrServerClosed), iris.WithoutStartupLog)
	return app
}

// readiness tells the load balancer whether this host accepts new calls: it is
// not stopping and its configuration is certain to be in force.
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

// Call routes one request to a target and replies with its result.
func (a callerAPI) Call(ctx iris.Context) {
	request, ok := readBody[schema.CallRequest](a.Host, ctx, guard.TextBytes)
	if !ok {
		return
	}
	if apiErr := checkCall(request, time.Now()); apiErr != nil {
		a.fail(ctx, *apiErr)
		return
	}
	if request.Class == "" {
		request.Class = schema.Urgent
	}
	result, ok := a.routeRequest(ctx.Request().Context(), request)
	if !ok {
		a.fail(ctx, newError(schema.OutcomeUnknown, "the call ended before its outcome was known"))
		return
	}
	a.replyOutcome(ctx, request, result)
}

// replyOutcome logs the result of a request and replies with it.
func (a callerAPI) replyOutcome(ctx iris.Context, request schema.CallRequest, result route.Answer) {
	logev.RequestEnded.Log(a.log).Str("request", request.ID).Int("outcome", int(result.Outcome)).
		Str("target", result.Reply.Target).Str("reason", result.Reason).Send()
	switch result.Outcome {
	case route.Answered:
		a.reply(ctx, result.Reply)
	case route.NotRun:
		a.fail(ctx, retryAt(schema.NotRun, "the request was not run: "+result.Reason, result.RetryAt))
	case route.Unknown:
		a.fail(ctx, retryAt(schema.OutcomeUnknown, "the request may have run: "+result.Reason, result.RetryAt))
	case route.Duplicate:
		a.fail(ctx, newError(schema.DuplicateID, "%s", result.Reason))
	}
}

func checkCall(request schema.CallRequest, now time.Time) *schema.Error {
	switch {
	case !validID(request.ID):
		return invalid(schema.BadRequest, "id should be 1 to %d letters, digits, dots, dashes or underscores", maxIDLength)
	case request.Kind == "":
		return invalid(schema.BadRequest, "kind is missing")
	case request.Class != "" && !request.Class.Valid():
		return invalid(schema.BadRequest, "class %q should be urgent or patient", request.Class)
	case !now.Before(request.Deadline):
		return invalid(schema.PastDeadline, "deadline %s has passed", request.Deadline.Format(time.RFC3339Nano))
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
