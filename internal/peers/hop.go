package peers

import (
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// comeBack after a VM could not be reached: its targets have a new pooler by then.
const comeBack = 250 * time.Millisecond

// HopResult says what a failed call to a VM means for a request. Only a failed
// dial proves that nothing was sent; everything else may have run.
func HopResult(vm topology.VM, err error) *result.Error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return result.New(result.PoolerUnreachable, "%s: %v", vm.ID, err).After(comeBack)
	}
	return result.New(result.OutcomeUnknown, "%s: %v", vm.ID, err).After(comeBack)
}
