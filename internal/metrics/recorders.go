package metrics

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Names of the metrics and their tags.
const (
	Requests         = "requests"
	RequestLatency   = "request_latency"
	ReadsServed      = "reads_served"
	Retries          = "retries"
	QueueTime        = "queue_time"
	RunTime          = "run_time"
	ConnectionsInUse = "connections_in_use"

	TagMember = "member"
	TagClass  = "class"
	TagResult = "result"
	TagRole   = "role"
	TagTarget = "target"

	RoleReplica = "replica"
	RolePrimary = "primary"

	// ResultOK is the result tag of a request that succeeded.
	ResultOK = "ok"
	// unknownName is the tag value for a class or member that the configuration lacks.
	unknownName = "unknown"
)

// latencyBuckets are the same for all histograms, so that histograms can be summed.
var latencyBuckets = tally.DurationBuckets{
	500 * time.Microsecond, time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second,
	10 * time.Second, time.Minute,
}

// scopes caches the tagged scopes, since creating one costs more than counting.
type scopes struct {
	root   tally.Scope
	tagged sync.Map // scopeKey to tally.Scope
}

type scopeKey struct{ member, class, customer, target, reason, extraName, extra string }

func (s *scopes) get(key scopeKey) tally.Scope {
	if tagged, ok := s.tagged.Load(key); ok {
		return tagged.(tally.Scope)
	}
	tags := map[string]string{}
	for name, value := range map[string]string{TagMember: key.member, TagClass: key.class, TagCustomer: key.customer, TagTarget: key.target, TagReason: key.reason, key.extraName: key.extra} {
		if name != "" && value != "" {
			tags[name] = value
		}
	}
	tagged, _ := s.tagged.LoadOrStore(key, s.root.Tagged(tags))
	return tagged.(tally.Scope)
}

// Entry records the daemon's work for callers. A nil Entry records nothing.
type Entry struct{ scopes scopes }

// NewEntry returns a recorder that reports to the registry.
func NewEntry(r *Registry) *Entry { return &Entry{scopes{root: r.scope}} }

// Request counts an answered request and its latency. Names that are not in the
// configuration must be passed as empty: otherwise a caller that invents a new name
// for each request would fill the memory with counters.
func (e *Entry) Request(member, class string, failure *result.Error, took time.Duration) {
	if e == nil {
		return
	}
	if member == "" {
		member = unknownName
	}
	if class == "" {
		class = unknownName
	}
	code := ResultOK
	if failure != nil {
		code = failure.Code.Name()
	}
	e.scopes.get(scopeKey{member: member, class: class, extraName: TagResult, extra: code}).Counter(Requests).Inc(1)
	e.scopes.get(scopeKey{member: member, class: class}).Histogram(RequestLatency, latencyBuckets).RecordDuration(took)
}

// ReadServed counts a read by the role of the target that answered it.
func (e *Entry) ReadServed(member, class string, byPrimary bool) {
	if e == nil {
		return
	}
	role := RoleReplica
	if byPrimary {
		role = RolePrimary
	}
	e.scopes.get(scopeKey{member: member, class: class, extraName: TagRole, extra: role}).Counter(ReadsServed).Inc(1)
}

// Retry counts an attempt after the first one.
func (e *Entry) Retry(member, class string) {
	if e == nil {
		return
	}
	e.scopes.get(scopeKey{member: member, class: class}).Counter(Retries).Inc(1)
}

// Pooler records the daemon's work at the targets that it pools. A nil Pooler records nothing.
type Pooler struct{ scopes scopes }

// NewPooler returns a recorder that reports to the registry.
func NewPooler(r *Registry) *Pooler { return &Pooler{scopes{root: r.scope}} }

// Queued records how long a request waited for a slot.
func (p *Pooler) Queued(member, class string, took time.Duration) {
	if p == nil {
		return
	}
	p.scopes.get(scopeKey{member: member, class: class}).Histogram(QueueTime, latencyBuckets).RecordDuration(took)
}

// Ran records how long a request held its slot.
func (p *Pooler) Ran(member, class string, took time.Duration) {
	if p == nil {
		return
	}
	p.scopes.get(scopeKey{member: member, class: class}).Histogram(RunTime, latencyBuckets).RecordDuration(took)
}

// Connections records how many connections of a target are in use.
func (p *Pooler) Connections(target string, inUse int) {
	if p == nil {
		return
	}
	p.scopes.get(scopeKey{extraName: TagTarget, extra: target}).Gauge(ConnectionsInUse).Update(float64(inUse))
}
