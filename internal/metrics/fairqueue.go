package metrics

import (
	"strconv"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// Names of the metrics for fair queueing and their tag.
const (
	FairQueueGranted = "fair_queue_granted"
	FairQueueWait    = "fair_queue_wait"
	FairQueueRefused = "fair_queue_refused"
	FairQueueExpired = "fair_queue_expired"
	FairQueueWaiting = "fair_queue_waiting"

	TagPriority = "priority"
)

// queueTags identifies a queue of requests.
type queueTags struct {
	target   string
	priority int
}

// FairQueue records how requests that wait for connections fare, by target and priority. Both are declared in the
// configuration, so the number of metrics stays small. A nil FairQueue records nothing.
type FairQueue struct {
	root   tally.Scope
	tagged sync.Map // queueTags to tally.Scope
}

// NewFairQueue returns a recorder that reports to the registry.
func NewFairQueue(r *Registry) *FairQueue { return &FairQueue{root: r.scope} }

// scope returns the scope of a target's queue of a priority. The scopes are kept, since creating one costs more than
// counting.
func (f *FairQueue) scope(target string, priority int) tally.Scope {
	key := queueTags{target, priority}
	if scope, ok := f.tagged.Load(key); ok {
		return scope.(tally.Scope)
	}
	tags := map[string]string{TagTarget: target, TagPriority: strconv.Itoa(priority)}
	scope, _ := f.tagged.LoadOrStore(key, f.root.Tagged(tags))
	return scope.(tally.Scope)
}

// Granted counts a request that waited for a connection and got one, and records how long it waited.
func (f *FairQueue) Granted(target string, priority int, waited time.Duration) {
	if f == nil {
		return
	}
	scope := f.scope(target, priority)
	scope.Counter(FairQueueGranted).Inc(1)
	scope.Histogram(FairQueueWait, latencyBuckets).RecordDuration(waited)
}

// Refused counts a request that was refused at once, since it would have waited for longer than it may.
func (f *FairQueue) Refused(target string, priority int) { f.count(target, priority, FairQueueRefused) }

// Expired counts a request that got no connection before its deadline, or whose caller went away.
func (f *FairQueue) Expired(target string, priority int) { f.count(target, priority, FairQueueExpired) }

// Waiting records how many requests wait for a connection.
func (f *FairQueue) Waiting(target string, priority, requests int) {
	if f != nil {
		f.scope(target, priority).Gauge(FairQueueWaiting).Update(float64(requests))
	}
}

func (f *FairQueue) count(target string, priority int, name string) {
	if f != nil {
		f.scope(target, priority).Counter(name).Inc(1)
	}
}
