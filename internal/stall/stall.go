// Package stall bounds how long the other side of an HTTP call may be silent.
//
// A limit on the whole call ends one whose answer is large, or whose link is narrow, however well
// it goes; made again from the start it meets the same limit, and what each try carries fills the
// link. Silence tells a connection that is dead from one that is slow: a call on the one ends
// within the limit, and on the other it goes on for as long as something comes.
package stall

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Limits on the silence of a call.
type Limits struct {
	// First is how long the answer may take to begin, from when the call is made.
	First time.Duration
	// Next is how long the answer may then pause, again and again.
	Next time.Duration
}

// Error ends a call whose other side was silent for too long. It is a timeout to those that ask.
type Error struct {
	// Silent is the limit that passed.
	Silent time.Duration
	// ended is how the call failed then, which tells whether it was sent; nil: while its answer
	// was read.
	ended error
}

// Error implements error.
func (e *Error) Error() string {
	if e.ended == nil {
		return fmt.Sprintf("nothing came for %v", e.Silent)
	}
	return fmt.Sprintf("nothing came for %v: %v", e.Silent, e.ended)
}

// Unwrap returns how the call failed.
func (e *Error) Unwrap() error { return e.ended }

// Timeout implements net.Error.
func (*Error) Timeout() bool { return true }

// Temporary implements net.Error.
func (*Error) Temporary() bool { return true }

// Is makes the error one of a deadline that has passed.
func (*Error) Is(target error) bool { return target == context.DeadlineExceeded }

type limitsKey struct{}

// With has a call that is made with the context through a Transport keep to the limits.
func With(ctx context.Context, l Limits) context.Context {
	return context.WithValue(ctx, limitsKey{}, l)
}

// Transport ends calls whose other side is silent.
type Transport struct {
	Base http.RoundTripper
	// Default limits calls whose context names no others; zero: they are not limited.
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
	begins := w.after(limits.First)
	response, err := t.Base.RoundTrip(r.WithContext(ctx))
	begins.Stop()
	if err != nil {
		err = w.explain(err)
		cancel(nil)
		return nil, err
	}
	goesOn := w.after(limits.Next)
	goesOn.Stop()
	response.Body = &body{ReadCloser: response.Body, watch: w, next: limits.Next, timer: goesOn}
	return response, nil
}

// CloseIdleConnections closes those of the base, for http.Client.
func (t *Transport) CloseIdleConnections() {
	if c, ok := t.Base.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// watch ends one call when it was silent for too long.
type watch struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
}

// after returns a timer that ends the call.
func (w *watch) after(limit time.Duration) *time.Timer {
	return time.AfterFunc(limit, func() { w.cancel(&Error{Silent: limit}) })
}

// explain tells an end by the watch from any other.
func (w *watch) explain(err error) error {
	var told, stalled *Error
	if errors.As(err, &told) || !errors.As(context.Cause(w.ctx), &stalled) {
		return err
	}
	return &Error{Silent: stalled.Silent, ended: err}
}

// body is an answer that is watched while it is waited for, and not while it is worked on.
type body struct {
	io.ReadCloser
	*watch
	next  time.Duration
	timer *time.Timer
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	b.timer.Reset(b.next)
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
