// Package stall bounds how long the server of an HTTP call may send nothing.
//
// A time-out for the whole call would also end a call that makes progress, if its response is
// large or its link is slow. A retry would start again, meet the same time-out, and load the link
// with the same data. A limit on the time without data tells a dead connection from a slow one: a
// call on a dead connection ends within the limit, and a call on a slow one continues for as long
// as data arrives.
package stall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Limits are the limits on the time without data in a call.
type Limits struct {
	// HeaderTimeout is how long the response header may take, from the start of the call.
	HeaderTimeout time.Duration
	// ReadTimeout is how long each read of the response body may take.
	ReadTimeout time.Duration
}

// Error is the error of a call whose server sent nothing for too long. It is a timeout error.
type Error struct {
	// Limit is the limit that was exceeded.
	Limit time.Duration
	// cause is the error with which the call then failed, from which a caller can tell whether
	// the request was sent. It is nil if the call ended while its response was read.
	cause error
}

// Error implements error.
func (e *Error) Error() string {
	if e.cause == nil {
		return fmt.Sprintf("no data received for %v", e.Limit)
	}
	return fmt.Sprintf("no data received for %v: %v", e.Limit, e.cause)
}

// Unwrap returns the error with which the call failed.
func (e *Error) Unwrap() error { return e.cause }

// Timeout implements net.Error.
func (*Error) Timeout() bool { return true }

// Temporary implements net.Error.
func (*Error) Temporary() bool { return true }

// Is reports whether target is context.DeadlineExceeded, which the error counts as.
func (*Error) Is(target error) bool { return target == context.DeadlineExceeded }

type limitsKey struct{}

// With returns a context that sets the limits of calls made with it through a Transport.
func With(ctx context.Context, l Limits) context.Context {
	return context.WithValue(ctx, limitsKey{}, l)
}

// Transport is an http.RoundTripper that ends calls whose server sends nothing for too long.
type Transport struct {
	Base http.RoundTripper
	// Default applies to calls whose context sets no limits. If it is zero, those calls are not
	// limited.
	Default Limits
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	limits, ok := r.Context().Value(limitsKey{}).(Limits)
	if !ok {
		limits = t.Default
	}
	if limits == (Limits{}) {
		return t.Base.RoundTrip(r)
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	w := &watch{ctx: ctx, cancel: cancel}
	headerTimer := w.after(limits.HeaderTimeout)
	response, err := t.Base.RoundTrip(r.WithContext(ctx))
	headerTimer.Stop()
	if err != nil {
		err = w.explain(err)
		cancel(nil)
		return nil, err
	}
	readTimer := w.after(limits.ReadTimeout)
	readTimer.Stop()
	response.Body = &body{ReadCloser: response.Body, watch: w, readLimit: limits.ReadTimeout, timer: readTimer}
	return response, nil
}

// CloseIdleConnections closes the idle connections of Base. http.Client calls it.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// watch ends one call when no data has arrived for too long.
type watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// after returns a timer that ends the call when limit has passed.
func (w *watch) after(limit time.Duration) *time.Timer {
	return time.AfterFunc(limit, func() { w.cancel(&Error{Limit: limit}) })
}

// explain returns an Error if the watch ended the call, and err unchanged otherwise.
func (w *watch) explain(err error) error {
	var existing, stalled *Error
	if errors.As(err, &existing) || !errors.As(context.Cause(w.ctx), &stalled) {
		return err
	}
	return &Error{Limit: stalled.Limit, cause: err}
}

// body is a response body whose reads are limited in time. The time between two reads, which the
// reader takes for its own work, is not.
type body struct {
	io.ReadCloser
	*watch
	readLimit time.Duration
	timer     *time.Timer
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.timer.Reset(b.readLimit)
	n, err := b.ReadCloser.Read(p)
	b.timer.Stop()
	if err != nil && !errors.Is(err, io.EOF) {
		err = b.explain(err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
