// Package wait holds the one way to wait that ends with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d or until ctx ends, and reports whether the time passed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
