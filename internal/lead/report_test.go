package lead

import (
	"testing"
	"time"
)

// A data centre is cut off for six seconds. When the partition heals, its VMs renew their rights
// before they have reached a primary elsewhere again. They must not report it as failing for six
// seconds, or the coordinator replaces it.
func TestAVMThatWasCutOffReportsNoFailure(t *testing.T) {
	if got := reportableFailure(6*time.Second, 40*time.Millisecond); got >= failedAfter {
		t.Fatalf("reports a failure of %v", got)
	}
	if got := reportableFailure(time.Second, time.Minute); got < failedAfter {
		t.Fatalf("a connected VM reports only %v", got)
	}
}
