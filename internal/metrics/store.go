package metrics

import (
	"github.com/uber-go/tally/v4"
)

// Names of the metrics for the store, as observed by a daemon, and their tags.
const (
	StoreCalls           = "store_calls"
	StoreBytes           = "store_bytes"
	ConfigurationVersion = "configuration_version"
	// InvalidRegistrations counts the entries of databases that could not be believed, each time that one was read.
	InvalidRegistrations = "invalid_registrations"

	TagTable     = "table"
	TagOperation = "operation"
	TagOutcome   = "outcome"
)

// Store records the calls to the store and their outcomes. A nil Store records nothing.
type Store struct{ scope tally.Scope }

// NewStore returns a recorder that reports to the registry.
func NewStore(r *Registry) *Store { return &Store{scope: r.scope} }

// Call counts one call. Tables and operations are fixed in the daemon's code, so the number of metrics
// stays small.
func (s *Store) Call(table, operation, outcome string) {
	if s == nil {
		return
	}
	tags := map[string]string{TagTable: table, TagOperation: operation, TagOutcome: outcome}
	s.scope.Tagged(tags).Counter(StoreCalls).Inc(1)
}

// Read counts the bytes of rows that the store returned, without what its protocol adds.
func (s *Store) Read(table, operation string, bytes int) {
	if s == nil || bytes == 0 {
		return
	}
	s.scope.Tagged(map[string]string{TagTable: table, TagOperation: operation}).Counter(StoreBytes).Inc(int64(bytes))
}

// InvalidRegistration counts a database's entry that could not be believed.
func (s *Store) InvalidRegistration() {
	if s == nil {
		return
	}
	s.scope.Counter(InvalidRegistrations).Inc(1)
}

// Configuration records the version in force. If VMs have different versions for longer than a
// change takes, callers are served differently depending on their VM.
func (s *Store) Configuration(version uint64) {
	if s == nil {
		return
	}
	s.scope.Gauge(ConfigurationVersion).Update(float64(version))
}
