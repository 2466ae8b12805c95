package metrics

import (
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// TargetRefusals is the name of the metric for refused requests by target and result.
const TargetRefusals = "target_refusals"

// Refusals records the requests that were refused, by the target of their last attempt. Targets and results are
// declared, so the number of metrics stays small. A nil Refusals records nothing.
type Refusals struct{ scopes scopes }

// NewRefusals returns a recorder that reports to the registry.
func NewRefusals(r *Registry) *Refusals { return &Refusals{scopes{root: r.scope}} }

// Request counts a request if it failed without having run. Requests that were never directed to a target are left
// out.
func (f *Refusals) Request(target topology.TargetID, failure *result.Error) {
	if f == nil || target == "" || failure == nil || failure.Ran != result.NotRun {
		return
	}
	key := scopeKey{target: string(target), extraName: TagResult, extra: failure.Code.Name()}
	f.scopes.get(key).Counter(TargetRefusals).Inc(1)
}
