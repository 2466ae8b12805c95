package lead

import (
	"testing"
	"time"
)

// A data centre is cut off for six seconds. As the cut heals its VMs renew their rights
// before they have reached a primary elsewhere again: they must not report it as
// failing for six seconds, or the coordinator replaces it.
func TestAVMThatWasCutOffReportsNoFailure(t *testing.T) {
	if got := reportable(6*time.Second, 40*time.Millisecond); got >= failedAfter {
		t.Fatalf("reports a failure of %v", got)
	}
	if got := reportable(time.Second, time.Minute); got < failedAfter {
		t.Fatalf("a VM in contact reports %v only", got)
	}
}
