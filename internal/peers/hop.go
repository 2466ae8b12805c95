package peers

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// retryAfterUnreachable is the delay after which a caller may retry when a VM could
// not be reached: its targets have a new pooler by then.
const retryAfterUnreachable = 250 * time.Millisecond

// HopResult returns the result of a request whose call to a VM failed. Only a failed
// dial proves that nothing was sent; after any other error the request may have run.
func HopResult(vm topology.VM, err error) *result.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.New(result.PoolerUnreachable, "%s: %v", vm.ID, err).After(retryAfterUnreachable)
	}
	return result.New(result.OutcomeUnknown, "%s: %v", vm.ID, err).After(retryAfterUnreachable)
}
