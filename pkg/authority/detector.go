package authority

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Defaults of the detector.
const (
	// ProbeIdle is how long a target may go without an answer before it is
	// probed with a new connection.
	ProbeIdle = 200 * time.Millisecond
	// ProbeEvery is the minimum interval between probes of one target.
	ProbeEvery = 75 * time.Millisecond
	// ProbeTimeout is the timeout of a probe. A new connection usually takes
	// 10 ms, so a target at ten times its usual latency still answers in time.
	ProbeTimeout = 300 * time.Millisecond
	// RefusalsForDead is how many consecutive refused connections mark a target
	// as dead. A single refusal may be a restart of the listener.
	RefusalsForDead = 2
	// FrozenAfter is how long new connections must go unanswered before the
	// target counts as dead; at least two probes have timed out by then.
	FrozenAfter = 600 * time.Millisecond
	// HolderSilenceLimit is how long after its last heartbeat a holder counts as silent.
	// Two heartbeats may be lost before that.
	HolderSilenceLimit = 800 * time.Millisecond
	// SlowFactor is the multiple of the usual latency above which a target is slow.
	SlowFactor = 5
	// witnessInterval is the minimum interval between requests to a witness. Its
	// answer is used for witnessMaxAge.
	witnessInterval = 200 * time.Millisecond
	witnessMaxAge   = 500 * time.Millisecond
	// witnessWait is how long a target is not declared dead while the first answer
	// of a witness is outstanding.
	witnessWait = 150 * time.Millisecond
	// latencyDivisor is the divisor of the moving average: a sample moves the
	// usual latency by 1/latencyDivisor of its difference.
	latencyDivisor = 16
	// slowLatencyDivisor is the divisor for samples that are slow.
	slowLatencyDivisor = 4096
)

// Health is the state of a target as observed by one VM.
type Health int

// States of a target.
const (
	HealthUnknown Health = iota
	Healthy
	// Slow targets answer late. A slow primary is never replaced.
	Slow
	// Doubtful targets have failed probes, but not enough to count as dead.
	Doubtful
	// PathDead targets can't be reached from this VM, but a witness reaches them.
	PathDead
	// Dead targets refuse or don't answer new connections from this VM, and no
	// witness reports that it reaches them.
	Dead
)

// ProbeOutcome is the result of a probe.
type ProbeOutcome int

// Results of a probe.
const (
	ProbeAnswered ProbeOutcome = iota + 1
	ProbeRefused
	ProbeTimedOut
)

// Probe opens a new connection to the target and asks for its status.
type Probe struct {
	Target  topology.TargetID
	Timeout time.Duration
}

// AskWitness asks a VM of another data centre whether it reaches the target.
type AskWitness struct{ Target topology.TargetID }

func (Probe) action()      {}
func (AskWitness) action() {}

// Detector is the table of watched targets. It is not safe for concurrent use.
type Detector struct {
	targets map[topology.TargetID]*watched
}

// watched is one target of the Detector.
type watched struct {
	answeredAt mono.Time
	probedAt   mono.Time
	probeNow   bool
	refusals   int
	timeouts   int
	// failingSince is when the first failed probe after the last answer was sent.
	failingSince   mono.Time
	failed         bool
	answerLatency  latencyTracker
	probeLatency   latencyTracker
	witnessAt      mono.Time
	witnessOK      bool
	witnessed      bool
	witnessAskedAt mono.Time
}

// NewDetector returns an empty table.
func NewDetector() *Detector {
	return &Detector{targets: map[topology.TargetID]*watched{}}
}

// Watch adds the target. It counts as having answered at now.
func (d *Detector) Watch(target topology.TargetID, now mono.Time) {
	if _, ok := d.targets[target]; !ok {
		d.targets[target] = &watched{answeredAt: now}
	}
}

// Forget removes the target.
func (d *Detector) Forget(target topology.TargetID) { delete(d.targets, target) }

// latencyTracker tracks the latency of one kind of request to a target. New
// connections take longer than requests on open ones, so each kind has its own.
type latencyTracker struct {
	usual time.Duration
	last  time.Duration
}

// observe adds one sample. Slow samples hardly move the usual latency, so that a
// target that stays slow does not count as normal within seconds.
func (p *latencyTracker) observe(d time.Duration) {
	p.last = d
	if p.usual == 0 {
		p.usual = d
	}
	divisor := time.Duration(latencyDivisor)
	if p.slow() {
		divisor = slowLatencyDivisor
	}
	p.usual += (d - p.usual) / divisor
}

func (p *latencyTracker) slow() bool { return p.usual > 0 && p.last > SlowFactor*p.usual }

// ObserveAnswer records an answer or a refusal by the target on an open connection.
func (d *Detector) ObserveAnswer(target topology.TargetID, latency time.Duration, now mono.Time) {
	if w, ok := d.targets[target]; ok {
		w.answerLatency.observe(latency)
		w.markAlive(now)
	}
}

// markAlive clears the failures of the target.
func (w *watched) markAlive(now mono.Time) {
	w.answeredAt = now
	w.probeNow = false
	w.failed = false
	w.refusals = 0
	w.timeouts = 0
}

// RequestProbe makes a probe of the target due without waiting for ProbeIdle. It is called
// when a connection broke, an answer is overdue or the holder reports the target as
// dead.
func (d *Detector) RequestProbe(target topology.TargetID) {
	if w, ok := d.targets[target]; ok {
		w.probeNow = true
	}
}

// ObserveProbe records the result of a probe that was sent at the given time. Only
// new connections count against a target. Failure: a network device between the
// two ends dropped the state of an open connection, which then stays silent while
// the target is healthy.
func (d *Detector) ObserveProbe(target topology.TargetID, outcome ProbeOutcome, sent, now mono.Time) {
	w, ok := d.targets[target]
	if !ok {
		return
	}
	if outcome == ProbeAnswered {
		w.probeLatency.observe(now.Sub(sent))
		w.markAlive(now)
		return
	}
	if sent.Before(w.answeredAt) {
		return
	}
	if !w.failed || sent.Before(w.failingSince) {
		w.failed = true
		w.failingSince = sent
	}
	if outcome == ProbeRefused {
		w.refusals++
		return
	}
	w.timeouts++
}

// ObserveWitness records whether a VM of another data centre reaches the target.
func (d *Detector) ObserveWitness(target topology.TargetID, reachable bool, now mono.Time) {
	w, ok := d.targets[target]
	if !ok {
		return
	}
	w.witnessed = true
	w.witnessAt = now
	w.witnessOK = reachable
}

// Tick returns the probes and witness requests that are due.
func (d *Detector) Tick(now mono.Time) []Action {
	var out []Action
	for _, id := range sortedKeys(d.targets) {
		w := d.targets[id]
		due := w.probeNow || now.Sub(w.answeredAt) >= ProbeIdle
		if due && (w.probedAt == 0 || now.Sub(w.probedAt) >= ProbeEvery) {
			w.probedAt = now
			out = append(out, Probe{Target: id, Timeout: ProbeTimeout})
		}
		if w.failed && (w.witnessAskedAt == 0 || now.Sub(w.witnessAskedAt) >= witnessInterval) {
			w.witnessAskedAt = now
			out = append(out, AskWitness{Target: id})
		}
	}
	return out
}

// Health returns the state of the target at now.
func (d *Detector) Health(target topology.TargetID, now mono.Time) Health {
	w, ok := d.targets[target]
	if !ok {
		return HealthUnknown
	}
	if !w.failed {
		if w.answerLatency.slow() || w.probeLatency.slow() {
			return Slow
		}
		return Healthy
	}
	fresh := w.witnessed && now.Sub(w.witnessAt) < witnessMaxAge
	if fresh && w.witnessOK {
		return PathDead
	}
	refused := w.refusals >= RefusalsForDead
	frozen := w.timeouts >= 2 && now.Sub(w.failingSince) >= FrozenAfter
	witnessChecked := fresh || now.Sub(w.failingSince) >= witnessWait
	if (refused || frozen) && witnessChecked {
		return Dead
	}
	return Doubtful
}

// AssessPrimary decides whether the group's primary is suspected to be dead, passes the
// result to Suspect and returns it. It combines this VM's own observation with the
// health that the holder reports.
//
// While the holder sends heartbeats and does not report its primary as dead, the
// primary is not suspected: the failure is on the path from this VM. If the holder
// is silent but the primary answers this VM, the pooler is dead, and another
// pooler replaces it without a promotion.
func (p *Promoter) AssessPrimary(group topology.GroupID, direct Health, now mono.Time) bool {
	s := p.promoterGroup(group)
	speaks := s.heartbeatAt != 0 && now.Sub(s.heartbeatAt) < HolderSilenceLimit
	dead := direct == Dead
	if speaks {
		dead = s.health == Dead && (direct == Dead || direct == Doubtful)
	}
	p.Suspect(group, dead, now)
	return dead
}

// String returns the name that logs and status pages use.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "healthy"
	case Slow:
		return "slow"
	case Doubtful:
		return "doubtful"
	case PathDead:
		return "path_dead"
	case Dead:
		return "dead"
	}
	return "unknown"
}
