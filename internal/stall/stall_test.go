package stall_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/stall"
)

const limit = 200 * time.Millisecond

var limits = stall.Limits{HeaderTimeout: limit, ReadTimeout: limit}

// call makes one call to handler through the transport and reads the whole response body.
func call(ctx context.Context, t *testing.T, transport *stall.Transport, handler http.HandlerFunc) (string, error) {
	t.Helper()
	server := httptest.NewServer(handler)
	defer server.Close()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return string(answer), err
}

// parts returns a handler that sends n parts, each after a pause, and then waits until hold is
// closed.
func parts(n int, pause time.Duration, hold <-chan struct{}) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for range n {
			time.Sleep(pause)
			_, _ = io.WriteString(w, "x")
			_ = http.NewResponseController(w).Flush()
		}
		select {
		case <-hold:
		case <-r.Context().Done():
		}
	}
}

var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// A response takes six times the limit in total, with pauses of a quarter of the limit.
func TestResponseThatKeepsArrivingIsNotLimited(t *testing.T) {
	const n = 24
	answer, err := call(stall.With(context.Background(), limits), t, &stall.Transport{Base: http.DefaultTransport}, parts(n, limit/4, closedChannel))
	if err != nil || answer != strings.Repeat("x", n) {
		t.Fatalf("%q %v", answer, err)
	}
}

// The server sends nothing at all, or stops in the middle of its response. The call must end soon
// after the limit, with a timeout error.
func TestSilentCallTimesOut(t *testing.T) {
	for _, sent := range []int{0, 2} {
		began := time.Now()
		answer, err := call(stall.With(context.Background(), limits), t, &stall.Transport{Base: http.DefaultTransport}, parts(sent, 0, nil))
		var timeout net.Error
		var stalled *stall.Error
		if !errors.As(err, &timeout) || !timeout.Timeout() || !errors.As(err, &stalled) || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("after %d parts: %v", sent, err)
		}
		if took := time.Since(began); took < limit || took > 10*limit || len(answer) != sent {
			t.Errorf("after %d parts: %q in %v", sent, answer, took)
		}
	}
}

// The caller cancels the call: the error must not be a stall.
func TestCancelledCallIsNotAStall(t *testing.T) {
	ctx, cancel := context.WithCancel(stall.With(context.Background(), limits))
	time.AfterFunc(limit/4, cancel)
	_, err := call(ctx, t, &stall.Transport{Base: http.DefaultTransport}, parts(1, 0, nil))
	var stalled *stall.Error
	if errors.As(err, &stalled) || !errors.Is(err, context.Canceled) {
		t.Fatal(err)
	}
}

// The reader pauses between two reads for longer than the limit; the call must not end.
func TestSlowReaderIsNotAStall(t *testing.T) {
	server := httptest.NewServer(parts(3, 0, closedChannel))
	defer server.Close()
	client := http.Client{Transport: &stall.Transport{Base: http.DefaultTransport, Default: limits}}
	response, err := client.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	time.Sleep(2 * limit)
	if answer, err := io.ReadAll(response.Body); err != nil || string(answer) != "xxx" {
		t.Fatalf("%q %v", answer, err)
	}
}

// A transport without limits does not end calls; its default applies if the context sets none.
func TestDefaultAppliesWithoutLimitsInContext(t *testing.T) {
	slow := parts(1, 2*limit, closedChannel)
	if answer, err := call(context.Background(), t, &stall.Transport{Base: http.DefaultTransport}, slow); err != nil || answer != "x" {
		t.Fatalf("%q %v", answer, err)
	}
	if _, err := call(context.Background(), t, &stall.Transport{Base: http.DefaultTransport, Default: limits}, slow); err == nil {
		t.Fatal("not limited")
	}
}
