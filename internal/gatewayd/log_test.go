package gatewayd

import (
	"io"
	"testing"
	"time"
)

// BenchmarkLogLineOfFailedRequest measures what logging one failed request costs the goroutine that
// serves it. Another goroutine writes the lines; those that it can't keep up with are dropped and counted.
func BenchmarkLogLineOfFailedRequest(b *testing.B) {
	l := newLogging(Settings{VM: "vm-1", LogLevel: "info"})
	l.out = io.Discard
	go l.run(b.Context())
	for b.Loop() {
		l.log.Info("event=request_failed", "request", "5c0e7a21d94b36f8", "session", 17, "class", "r-landing", "group", "quota-1",
			"kind", "write", "in_transaction", false, "target", "i-7f3a91c2", "attempts", 2, "took", 411*time.Millisecond,
			"waited", 400*time.Millisecond, "row_version", 5, "term", 2, "code", 1201, "result", "NoRight", "ran", "not run",
			"retry_after", 500*time.Millisecond, "detail", "group quota-1")
	}
}
