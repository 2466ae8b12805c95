package target

import (
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

const (
	// DefaultDrain is how long a leaving target is sent new work.
	DefaultDrain = 7 * time.Second
	// drainReserve is how long before the end of that time the last work is sent: work takes time to
	// reach the target, and the first statement of a transaction follows its begin.
	drainReserve = 500 * time.Millisecond
	// leavingReportInterval is how often the use of a leaving target is logged.
	leavingReportInterval = time.Second
)

// leaving is the state of a leaving target: until when it is sent new work, and its use since it was known
// to be leaving.
type leaving struct {
	// knownSince is when this VM learned that the target is leaving, or 0 if it isn't.
	knownSince mono.Time
	// until is until when the target is sent new work. It is 0 if it isn't known since when the target has
	// been leaving; it is then sent none.
	until mono.Time
	// requests is the number of requests sent since the last report, at reported, and waited the longest
	// time that one of them waited for its connection.
	requests int
	waited   time.Duration
	reported mono.Time
	// waitersRefused is set once the requests still waiting after until have been refused.
	waitersRefused bool
}

// SetLeaving marks the target as leaving. It is sent new work until the given time, or none if that is 0.
func (p *Pool) SetLeaving(until mono.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resting.Store(false)
	if p.leaving.knownSince == 0 {
		now := p.clock.Now()
		p.leaving = leaving{knownSince: now, reported: now}
	}
	p.leaving.until = until
}

// ClearLeaving marks the target as not leaving.
func (p *Pool) ClearLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = leaving{}
}

// followDirectory applies the directory's state of the target: whether, and since when, it has been leaving.
func (p *Pool) followDirectory(t directory.Target, drain time.Duration) {
	switch {
	case !t.Leaving:
		p.ClearLeaving()
	case t.LeavingSince == 0:
		p.SetLeaving(0)
	default:
		p.SetLeaving(t.LeavingSince.Add(drain - drainReserve))
	}
}

// drainEnded reports whether the target is leaving and is no longer sent new work. That doesn't depend on whether
// a successor exists, since a group may have none.
func (p *Pool) drainEnded(now mono.Time) bool {
	return p.leaving.knownSince != 0 && !now.Before(p.leaving.until)
}

func (p *Pool) leavingError() *result.Error {
	return result.New(result.TargetLeaving, "%s leaves", p.target.ID)
}

// startsWork reports whether a command is a single statement or begins a transaction, rather than belonging
// to an open transaction or setting up the connection.
func (l *Link) startsWork(k CommandKind) bool {
	if l.inTransaction {
		return false
	}
	return k == Caller || k == Execute || k == Begin || k == BeginReadOnly
}

// admit counts new work for a leaving target, and refuses it once the target is no longer sent any.
func (p *Pool) admit(waited time.Duration) *result.Error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leaving.knownSince == 0 {
		return nil
	}
	if p.drainEnded(p.clock.Now()) {
		return p.leavingError()
	}
	p.leaving.requests++
	p.leaving.waited = max(p.leaving.waited, waited)
	return nil
}

// tickLeaving logs the use of a leaving target. Once the target is no longer sent new work, it refuses the
// requests that still wait for a connection.
func (p *Pool) tickLeaving(now mono.Time) {
	s := &p.leaving
	if s.requests > 0 && now.Sub(s.reported) >= leavingReportInterval {
		p.log.Info("event=leaving_target_used", "target", p.target.ID, "known_for", now.Sub(s.knownSince).Round(time.Millisecond),
			"requests", s.requests, "longest_wait", s.waited.Round(time.Millisecond))
		s.requests, s.waited, s.reported = 0, 0, now
	}
	if s.waitersRefused || !p.drainEnded(now) {
		return
	}
	s.waitersRefused = true
	p.log.Info("event=leaving_target_closed", "target", p.target.ID, "known_for", now.Sub(s.knownSince).Round(time.Millisecond),
		"since_known", s.until != 0, "waiting", p.waiting.Len())
	p.refuseAll(p.leavingError())
}
