package httpc

import (
	"io"
	"net/http"
	"time"
)

// LimitBodyTime returns a handler that gives a caller until a deadline, timeout
// after the header, to send the body of its request. Reading the body then fails,
// and the connection ends, so that callers that stop midway hold none for ever.
func LimitBodyTime(next http.Handler, timeout time.Duration) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body != nil && r.ContentLength != 0 {
			control := http.NewResponseController(w)
			if control.SetReadDeadline(time.Now().Add(timeout)) == nil {
				r.Body = &timedBody{ReadCloser: r.Body, control: control}
			}
		}
		next.ServeHTTP(w, r)
	})
}

// timedBody removes the deadline once the body has been read, since it would end a
// handler that takes longer.
type timedBody struct {
	io.ReadCloser
	control *http.ResponseController
}

// Read implements io.Reader.
func (b *timedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	if err == io.EOF {
		if failed := b.control.SetReadDeadline(time.Time{}); failed != nil {
			return n, failed
		}
	}
	return n, err
}
