package metrics

import (
	"github.com/uber-go/tally/v4"
)

// Names of what a daemon sees of the store, and their tags.
const (
	StoreCalls           = "store_calls"
	ConfigurationVersion = "configuration_version"

	TagTable     = "table"
	TagOperation = "operation"
	TagOutcome   = "outcome"
)

// Store records the calls to the store and what they brought. A nil Store records nothing.
type Store struct{ scope tally.Scope }

// NewStore returns a recorder of the registry.
func NewStore(r *Registry) *Store { return &Store{scope: r.scope} }

// Call counts one call. The tables and operations are the daemon's own, so they are few.
func (s *Store) Call(table, operation, outcome string) {
	if s == nil {
		return
	}
	tags := map[string]string{TagTable: table, TagOperation: operation, TagOutcome: outcome}
	s.scope.Tagged(tags).Counter(StoreCalls).Inc(1)
}

// Configuration records the version in force. VMs with different ones for longer than a change
// takes serve different callers differently.
func (s *Store) Configuration(version uint64) {
	if s == nil {
		return
	}
	s.scope.Gauge(ConfigurationVersion).Update(float64(version))
}
