package entry

import (
	"bytes"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/rattanshore/rattanshore/internal/edge/guard"
	"github.com/rattanshore/rattanshore/internal/edge/peers"
	"github.com/rattanshore/rattanshore/internal/ops/logev"
	"github.com/rattanshore/rattanshore/internal/wire/schema"
)

// httpStatus maps error codes to HTTP status codes.
var httpStatus = map[schema.ErrorCode]int{
	schema.BadRequest:          http.StatusBadRequest,
	schema.BodyTooLarge:        http.StatusRequestEntityTooLarge,
	schema.UnknownField:        http.StatusBadRequest,
	schema.PastDeadline:        http.StatusBadRequest,
	schema.ImpossibleShape:     http.StatusUnprocessableEntity,
	schema.DuplicateID:         http.StatusConflict,
	schema.NotFound:            http.StatusNotFound,
	schema.Unauthorized:        http.StatusUnauthorized,
	schema.VersionConflict:     http.StatusConflict,
	schema.UnformableGuarantee: http.StatusUnprocessableEntity,
	schema.NotRun:              http.StatusServiceUnavailable,
	schema.OutcomeUnknown:      http.StatusBadGateway,
	schema.Unavailable:         http.StatusServiceUnavailable,
}

// fail replies with an error and logs it.
func (h *Host) fail(ctx iris.Context, e schema.Error) {
	logev.CallRefused.Log(h.log).Str("path", logev.Clip(ctx.Path())).Str("code", string(e.Code)).
		Str("message", logev.Clip(e.Message)).Send()
	h.replyError(ctx, e)
}

// replyError replies with an error. The guard of the listener logs those that are due to
// its limits, with a bound on their number.
func (h *Host) replyError(ctx iris.Context, e schema.Error) {
	if !e.ComeBackAt.IsZero() {
		seconds := max(1, int(time.Until(e.ComeBackAt).Seconds()+1))
		ctx.Header("Retry-After", fmt.Sprint(seconds))
	}
	ctx.StatusCode(httpStatus[e.Code])
	h.reply(ctx, e)
}

// reply replies with a value as JSON. A large answer that the memory for callers does not
// allow is not sent.
func (h *Host) reply(ctx iris.Context, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		logev.InternalProblem.Log(h.log).Err(err).Send()
		ctx.StatusCode(http.StatusInternalServerError)
		return
	}
	if len(data) > smallAnswerBytes {
		if err := guard.Take(ctx.Request().Context(), int64(len(data))); err != nil {
			h.withhold(ctx, err)
			return
		}
	}
	ctx.ContentType("application/json")
	_, _ = ctx.Write(data)
}

// smallAnswerBytes is the size up to which an answer fits into the buffers of its
// connection.
const smallAnswerBytes = 4 << 10

// withhold replies that an answer is not sent for lack of memory. Calls that change
// something may have taken effect.
func (h *Host) withhold(ctx iris.Context, err error) {
	if ctx.Method() == http.MethodGet {
		h.failFull(ctx, err)
		return
	}
	h.replyError(ctx, retryAt(schema.OutcomeUnknown, "the call may have taken effect: the memory for its answer is in use", time.Now().Add(guard.RetryAfter)))
}

// newError returns an error with a formatted message.
func newError(code schema.ErrorCode, format string, args ...any) schema.Error {
	return schema.Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// retryAt returns an error with the time from which the caller may try again. The
// call certainly had no effect, unless the code is outcome-unknown.
func retryAt(code schema.ErrorCode, message string, at time.Time) schema.Error {
	return schema.Error{Code: code, Message: message, ComeBackAt: at}
}

// readBody decodes the body of a call, whose decoded size is at most what size returns. If
// it is not valid, readBody replies with the error and returns false.
func readBody[T any](h *Host, ctx iris.Context, size func([]byte) int64) (T, bool) {
	var value T
	data, err := guard.ReadBody(ctx.Request(), h.settings.Limits.BodyBytes)
	if err == nil {
		err = guard.Take(ctx.Request().Context(), size(data))
	}
	if err != nil {
		ctx.Header("Connection", "close")
		h.failBody(ctx, err)
		return value, false
	}
	value, apiErr := Decode[T](data)
	// What the call holds from now on are its texts, once, and its objects.
	guard.Give(ctx.Request().Context(), int64(cap(data))+guard.TextBytes(data)-int64(len(data)))
	if apiErr != nil {
		h.fail(ctx, *apiErr)
		return value, false
	}
	return value, true
}

// failBody replies to a call whose body was not read, so that the call has had no effect.
func (h *Host) failBody(ctx iris.Context, err error) {
	switch {
	case errors.Is(err, guard.ErrTooLarge):
		h.replyError(ctx, newError(schema.BodyTooLarge, "the body is larger than %d bytes, or takes too much memory", h.settings.Limits.BodyBytes))
	case errors.Is(err, guard.ErrFull):
		h.replyError(ctx, retryAt(schema.NotRun, "the memory for callers is in use; nothing was done", time.Now().Add(guard.RetryAfter)))
	default:
		h.fail(ctx, newError(schema.BadRequest, "the body could not be read: %v", err))
	}
}

// listBytes bounds the decoded size of a body with lists.
func listBytes(data []byte) int64 { return guard.ListBytes(data, 0) }

// Decode decodes one JSON value. Unknown fields and data after the value are errors.
func Decode[T any](data []byte) (T, *schema.Error) {
	var value T
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&value); err != nil {
		if strings.Contains(err.Error(), "unknown field") {
			return value, invalid(schema.UnknownField, "%v", err)
		}
		return value, invalid(schema.BadRequest, "the body is not valid: %v", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return value, invalid(schema.BadRequest, "the body has data after the JSON value")
	}
	return value, nil
}

// invalid returns an error for a call that failed a check.
func invalid(code schema.ErrorCode, format string, args ...any) *schema.Error {
	e := newError(code, format, args...)
	return &e
}

// requireKey refuses calls that do not carry the operators' key.
func (h *Host) requireKey(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := []byte(r.Header.Get(peers.KeyHeader))
		if subtle.ConstantTimeCompare(key, []byte(h.settings.Keys.Operators)) != 1 {
			logev.CallRefused.Log(h.log).Str("path", logev.Clip(r.URL.Path)).Str("code", string(schema.Unauthorized)).Send()
			body, _ := json.Marshal(newError(schema.Unauthorized, "the operators' key is missing or wrong"))
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write(body)
			return
		}
		next.ServeHTTP(w, r)
	})
}
