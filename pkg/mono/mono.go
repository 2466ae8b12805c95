// Package mono provides monotonic times. The decision logic takes them as
// arguments and reads no clock itself.
package mono

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is an instant in nanoseconds on one VM's monotonic clock. Instants of
// two VMs must never be compared.
type Time int64

// Add returns the instant d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time that passed from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// Clock reads the monotonic clock.
type Clock interface {
	Now() Time
}

// System is the clock of this VM.
type System struct{}

// Now reads CLOCK_BOOTTIME. CLOCK_MONOTONIC stands still while a VM is
// suspended: a lease holder that was suspended past its lease would resume and
// still see it as valid. CLOCK_BOOTTIME counts the suspension.
func (System) Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // The clock exists on every supported kernel.
	}
	return Time(ts.Nano())
}

// Manual is a clock that a test sets.
type Manual struct{ T Time }

// Now returns the instant last set.
func (m *Manual) Now() Time { return m.T }
