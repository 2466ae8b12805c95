// Package wait provides waits that end with a context.
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

// Until waits until the channel is closed, d has passed, or ctx ends.
func Until(ctx context.Context, closed <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-closed:
	case <-timer.C:
	case <-ctx.Done():
	}
}
