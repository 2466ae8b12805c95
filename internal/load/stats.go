package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms in microseconds, and their precision.
const (
	lowestLatency      = 1
	highestLatency     = int64(10 * time.Minute / time.Microsecond)
	significantFigures = 3
)

// classKey identifies a class of a member.
type classKey struct{ Member, Class string }

// classStats holds the measurements of one class.
type classStats struct {
	write     bool
	completed *hdrhistogram.Histogram
	refused   *hdrhistogram.Histogram
	waited    *hdrhistogram.Histogram
	codes     map[string]int
	outcomes  map[Outcome]int
	overrun   int
	offered   int
	seconds   []int // completed requests by second of the run
}

// stats collects measurements during a run. Safe for concurrent use.
type stats struct {
	warmUp time.Duration

	mu       sync.Mutex
	classes  map[classKey]*classStats
	live     map[Outcome]int            // requests since the last takeLive, by outcome
	liveMax  time.Duration              // highest latency since the last takeLive
	writes   map[string][]time.Duration // times of completed writes by group
	refusals map[string][]time.Duration // times of the first failed attempts of writes by group
}

func newStats(warmUp time.Duration) *stats {
	return &stats{
		warmUp:   warmUp,
		classes:  map[classKey]*classStats{},
		live:     map[Outcome]int{},
		writes:   map[string][]time.Duration{},
		refusals: map[string][]time.Duration{},
	}
}

func (s *stats) class(key classKey) *classStats {
	c := s.classes[key]
	if c == nil {
		c = &classStats{
			completed: hdrhistogram.New(lowestLatency, highestLatency, significantFigures),
			refused:   hdrhistogram.New(lowestLatency, highestLatency, significantFigures),
			waited:    hdrhistogram.New(lowestLatency, highestLatency, significantFigures),
			codes:     map[string]int{},
			outcomes:  map[Outcome]int{},
		}
		s.classes[key] = c
	}
	return c
}

// overrun counts an arrival that is not sent since too many requests are
// outstanding.
func (s *stats) overrun(key classKey, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at < s.warmUp {
		return
	}
	c := s.class(key)
	c.offered++
	c.overrun++
}

// add counts a request. Latency is measured from the intended arrival: if it were
// measured from the sending, a stall would hide the delay of the requests that
// could not be sent during it.
func (s *stats) add(r *Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	latency := r.Done - r.Intended
	s.live[r.Outcome]++
	s.liveMax = max(s.liveMax, latency)
	c := s.class(classKey{r.Member, r.Class})
	if r.Operation.Writes() {
		c.write = true
		s.addWrite(r)
	}
	if r.Intended < s.warmUp {
		return
	}
	c.offered++
	c.codes[r.Code]++
	c.outcomes[r.Outcome]++
	_ = c.waited.RecordValue(clampLatency(r.Sent - r.Intended))
	if r.Outcome != Completed {
		_ = c.refused.RecordValue(clampLatency(latency))
		return
	}
	_ = c.completed.RecordValue(clampLatency(latency))
	c.addSecond(r.Done)
}

func (s *stats) addWrite(r *Record) {
	group := string(r.Group)
	if r.Outcome == Completed {
		s.writes[group] = append(s.writes[group], r.Done)
	}
	if r.Refused > 0 {
		s.refusals[group] = append(s.refusals[group], r.Refused)
	}
}

func (c *classStats) addSecond(at time.Duration) {
	second := int(at / time.Second)
	for len(c.seconds) <= second {
		c.seconds = append(c.seconds, 0)
	}
	c.seconds[second]++
}

func clampLatency(d time.Duration) int64 {
	return min(max(d.Microseconds(), lowestLatency), highestLatency)
}

// takeLive returns the numbers of requests by outcome and the highest latency since
// the last call.
func (s *stats) takeLive() (counts map[Outcome]int, slowest time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts, slowest = s.live, s.liveMax
	s.live, s.liveMax = map[Outcome]int{}, 0
	return counts, slowest
}
