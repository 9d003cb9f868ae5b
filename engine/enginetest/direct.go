package enginetest

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"

	"github.com/cockroachdb/errors"

	"opalbridge.dev/engine"
)

// Direct calls a fake server without a network connection, for tests in virtual
// time. It implements engine.Server.
type Direct struct {
	Handler http.Handler // the fake server

	mutex sync.Mutex
	down  bool
}

// SetDown sets whether calls fail as if the server's host refused connections.
func (d *Direct) SetDown(down bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.down = down
}

// errConnectionBroken is returned in place of the error of a broken connection.
var errConnectionBroken = errors.New("enginetest: connection broken")

// Do implements engine.Server.
func (d *Direct) Do(ctx context.Context, c *engine.Call) (*engine.Response, error) {
	d.mutex.Lock()
	down := d.down
	d.mutex.Unlock()
	if down {
		return nil, errors.Mark(errConnectionBroken, engine.ErrNotSent)
	}
	u, err := url.Parse(c.Path)
	if err != nil {
		return nil, errors.Mark(err, engine.ErrNotSent)
	}
	r := (&http.Request{Method: c.Method, URL: u, Header: c.Header.Clone(), Body: io.NopCloser(bytes.NewReader(c.Body))}).WithContext(ctx)
	r.Header.Set(engine.RequestHeader, c.RequestID)
	priority := "1"
	if c.Urgent {
		priority = "0"
	}
	r.Header.Set(engine.PriorityHeader, priority)
	reader, writer := io.Pipe()
	w := &directWriter{header: http.Header{}, pipe: writer, ready: make(chan struct{})}
	go w.serve(d.Handler, r)
	select {
	case <-w.ready:
	case <-ctx.Done():
		reader.CloseWithError(ctx.Err())
		return nil, ctx.Err()
	}
	if w.status == 0 {
		return nil, errConnectionBroken
	}
	context.AfterFunc(ctx, func() { reader.CloseWithError(ctx.Err()) })
	return &engine.Response{Status: w.status, Header: w.header, Body: reader}, nil
}

// Load implements engine.Server.
func (d *Direct) Load(context.Context) (engine.Load, error) {
	recorder := httptest.NewRecorder()
	d.Handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/load", nil))
	var l engine.Load
	err := json.Unmarshal(recorder.Body.Bytes(), &l)
	return l, err
}

// directWriter is the http.ResponseWriter of a direct call.
type directWriter struct {
	header http.Header
	pipe   *io.PipeWriter
	status int
	once   sync.Once
	ready  chan struct{} // closed when the status is known, or when there will be none
}

// serve runs the handler. A panic of the handler or a canceled request breaks the
// connection.
func (w *directWriter) serve(h http.Handler, r *http.Request) {
	defer func() {
		if recover() != nil {
			w.once.Do(func() { close(w.ready) })
			w.pipe.CloseWithError(errConnectionBroken)
			return
		}
		if r.Context().Err() != nil {
			w.once.Do(func() { close(w.ready) })
			w.pipe.CloseWithError(errConnectionBroken)
			return
		}
		w.WriteHeader(http.StatusOK)
		w.pipe.Close()
	}()
	h.ServeHTTP(w, r)
}

// Header implements http.ResponseWriter.
func (w *directWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *directWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.ready)
	})
}

// Write implements http.ResponseWriter.
func (w *directWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.pipe.Write(p)
}

// Flush implements http.Flusher.
func (w *directWriter) Flush() {}
