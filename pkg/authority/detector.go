package authority

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Defaults of the detector.
const (
	// ProbeIdle is the silence after which a new connection is tried.
	ProbeIdle = 200 * time.Millisecond
	// ProbeEvery spaces the probes of a target that does not answer.
	ProbeEvery = 75 * time.Millisecond
	// ProbeTimeout bounds a probe: a new connection takes 10 ms, so ten times
	// the usual latency stays well below.
	ProbeTimeout = 300 * time.Millisecond
	// RefusalsForDead is how many new connections in a row a dead process
	// refuses; one may hit a restart of the listener.
	RefusalsForDead = 2
	// FrozenAfter is how long no new connection is answered before the target
	// counts as dead; at least two probes have timed out by then.
	FrozenAfter = 600 * time.Millisecond
	// HolderSilent is how long a holder's heartbeats may be missing: two may be
	// lost.
	HolderSilent = 800 * time.Millisecond
	// SlowFactor makes a target slow that takes this many times its usual time.
	SlowFactor = 5
	// witnessEvery spaces the questions to a witness; its word counts as long as
	// witnessFresh.
	witnessEvery = 200 * time.Millisecond
	witnessFresh = 500 * time.Millisecond
	// witnessWait is how long a verdict waits for the first word of a witness.
	witnessWait = 150 * time.Millisecond
	// latencyWeight is the share of one sample in the usual latency.
	latencyWeight = 16
	// slowLatencyWeight is the same for samples that are slow.
	slowLatencyWeight = 4096
)

// Health is how a target looks from one VM.
type Health int

// How a target looks.
const (
	HealthUnknown Health = iota
	Healthy
	// Slow targets answer, late: never a reason to promote.
	Slow
	// Doubtful targets have failed probes, not yet enough.
	Doubtful
	// PathDead: not reachable from here, but a witness reaches it.
	PathDead
	// Dead: new connections are refused or not answered, here and at the witness.
	Dead
)

// ProbeOutcome is what a new connection brought.
type ProbeOutcome int

// What a new connection brought.
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

// Detector is the table of watched targets. Not safe for concurrent use.
type Detector struct {
	targets map[topology.TargetID]*watched
}

// watched is one target of the Detector.
type watched struct {
	answered mono.Time
	probed   mono.Time
	doubted  bool
	refusals int
	timeouts int
	// failing is when the earliest probe without any answer since was sent.
	failing   mono.Time
	failed    bool
	answers   pace
	probes    pace
	witnessAt mono.Time
	witnessOK bool
	witnessed bool
	asked     mono.Time
}

// NewDetector returns an empty table.
func NewDetector() *Detector {
	return &Detector{targets: map[topology.TargetID]*watched{}}
}

// Watch adds the target, as if it had just answered.
func (d *Detector) Watch(target topology.TargetID, now mono.Time) {
	if _, ok := d.targets[target]; !ok {
		d.targets[target] = &watched{answered: now}
	}
}

// Forget removes the target.
func (d *Detector) Forget(target topology.TargetID) { delete(d.targets, target) }

// pace is how long one kind of request takes at a target. New connections take
// longer than requests on open ones, so each kind has its own.
type pace struct {
	usual time.Duration
	last  time.Duration
}

// observe takes one sample. Slow ones hardly move what counts as usual: a target
// that stays slow must not become the measure of itself within seconds.
func (p *pace) observe(d time.Duration) {
	p.last = d
	if p.usual == 0 {
		p.usual = d
	}
	weight := time.Duration(latencyWeight)
	if p.slow() {
		weight = slowLatencyWeight
	}
	p.usual += (d - p.usual) / weight
}

func (p *pace) slow() bool { return p.usual > 0 && p.last > SlowFactor*p.usual }

// ObserveAnswer takes any answer or refusal by the target on an open connection.
func (d *Detector) ObserveAnswer(target topology.TargetID, latency time.Duration, now mono.Time) {
	if w, ok := d.targets[target]; ok {
		w.answers.observe(latency)
		w.alive(now)
	}
}

// alive forgets what counted against the target.
func (w *watched) alive(now mono.Time) {
	w.answered = now
	w.doubted = false
	w.failed = false
	w.refusals = 0
	w.timeouts = 0
}

// Doubt has the target probed at once: a connection broke, an answer is overdue
// or the holder says that it is dead.
func (d *Detector) Doubt(target topology.TargetID) {
	if w, ok := d.targets[target]; ok {
		w.doubted = true
	}
}

// ObserveProbe takes what a probe sent at sent brought. Only new connections
// count against a target. Failure: something between the two ends has lost track
// of an open connection, which stays silent while the target is well.
func (d *Detector) ObserveProbe(target topology.TargetID, outcome ProbeOutcome, sent, now mono.Time) {
	w, ok := d.targets[target]
	if !ok {
		return
	}
	if outcome == ProbeAnswered {
		w.probes.observe(now.Sub(sent))
		w.alive(now)
		return
	}
	if sent.Before(w.answered) {
		return
	}
	if !w.failed || sent.Before(w.failing) {
		w.failed = true
		w.failing = sent
	}
	if outcome == ProbeRefused {
		w.refusals++
		return
	}
	w.timeouts++
}

// ObserveWitness takes the word of a VM of another data centre.
func (d *Detector) ObserveWitness(target topology.TargetID, reachable bool, now mono.Time) {
	w, ok := d.targets[target]
	if !ok {
		return
	}
	w.witnessed = true
	w.witnessAt = now
	w.witnessOK = reachable
}

// Tick returns the probes and questions that are due.
func (d *Detector) Tick(now mono.Time) []Action {
	var out []Action
	for _, id := range sortedKeys(d.targets) {
		w := d.targets[id]
		due := w.doubted || now.Sub(w.answered) >= ProbeIdle
		if due && (w.probed == 0 || now.Sub(w.probed) >= ProbeEvery) {
			w.probed = now
			out = append(out, Probe{Target: id, Timeout: ProbeTimeout})
		}
		if w.failed && (w.asked == 0 || now.Sub(w.asked) >= witnessEvery) {
			w.asked = now
			out = append(out, AskWitness{Target: id})
		}
	}
	return out
}

// Health returns how the target looks at now.
func (d *Detector) Health(target topology.TargetID, now mono.Time) Health {
	w, ok := d.targets[target]
	if !ok {
		return HealthUnknown
	}
	if !w.failed {
		if w.answers.slow() || w.probes.slow() {
			return Slow
		}
		return Healthy
	}
	fresh := w.witnessed && now.Sub(w.witnessAt) < witnessFresh
	if fresh && w.witnessOK {
		return PathDead
	}
	refused := w.refusals >= RefusalsForDead
	frozen := w.timeouts >= 2 && now.Sub(w.failing) >= FrozenAfter
	heard := fresh || now.Sub(w.failing) >= witnessWait
	if (refused || frozen) && heard {
		return Dead
	}
	return Doubtful
}

// Judge sets the suspicion from how the primary looks from this VM and what its
// holder says, and returns it.
//
// A holder that still speaks and does not call its primary dead keeps it: what
// this VM fails to reach is a path. A silent holder with a primary that answers
// here is a dead pooler, which the next one replaces without a promotion.
func (p *Promoter) Judge(group topology.GroupID, direct Health, now mono.Time) bool {
	s := p.standing(group)
	speaks := s.heard != 0 && now.Sub(s.heard) < HolderSilent
	dead := direct == Dead
	if speaks {
		dead = s.health == Dead && (direct == Dead || direct == Doubtful)
	}
	p.Suspect(group, dead, now)
	return dead
}

// String names the health as logs and status pages do.
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
