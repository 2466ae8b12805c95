package lead

import (
	"context"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// logPollPeriod is how often a target is asked for its log while commits wait for it, with few VMs. logPollPerVM is
	// added for each VM, since all of them may ask, and each question takes a slot of the target.
	logPollPeriod = 10 * time.Millisecond
	logPollPerVM  = time.Millisecond
)

// targetLogs knows up to where targets hold their logs, for commits that wait for them. All commits that wait for one target
// share its answers. Safe for concurrent use.
type targetLogs struct {
	status func(ctx context.Context, t topology.Target) (target.Status, error)
	lookUp func(id topology.TargetID) (topology.Target, bool)
	period func() time.Duration

	mu   sync.Mutex
	logs map[topology.TargetID]*targetLog
}

// targetLog is one target's newest answer while commits wait for it.
type targetLog struct {
	state   lease.LogState
	waiting int
	// isGone is set if the target is not registered any more. It has ended, so nothing can promote it.
	isGone bool
	// changed is closed and replaced with each answer.
	changed chan struct{}
}

func newTargetLogs(l *Lead) *targetLogs {
	return &targetLogs{
		status: l.status,
		lookUp: func(id topology.TargetID) (topology.Target, bool) {
			t, ok := l.Directory.Target(id)
			return t.Target, ok && !t.Superseded
		},
		period: func() time.Duration { return logPollPeriod + time.Duration(len(l.Directory.VMs()))*logPollPerVM },
		logs:   map[topology.TargetID]*targetLog{},
	}
}

// await waits until a target holds a commit, cannot any more, or ctx ends.
func (t *targetLogs) await(ctx context.Context, r lease.Right, id topology.TargetID, commit position.Position) lease.Custody {
	t.mu.Lock()
	defer t.mu.Unlock()
	log := t.logs[id]
	if log == nil {
		log = &targetLog{changed: make(chan struct{})}
		t.logs[id] = log
		go t.poll(id, log)
	}
	log.waiting++
	defer func() { log.waiting-- }()
	for {
		custody := r.CustodyOf(commit, log.state)
		switch {
		case log.isGone:
			return lease.Held
		case custody != lease.NotHeld || ctx.Err() != nil:
			return custody
		}
		changed := log.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		t.mu.Lock()
	}
}

// poll asks a target for its log until no commit waits for it any more.
func (t *targetLogs) poll(id topology.TargetID, log *targetLog) {
	ctx := context.Background()
	for t.isAwaited(id, log) {
		registered, ok := t.lookUp(id)
		if !ok {
			t.note(log, func() { log.isGone = true })
		} else if s, err := t.status(ctx, registered); err == nil {
			t.note(log, func() { log.isGone, log.state = false, lease.LogState{Term: s.Term, Received: s.Received} })
		}
		wait.For(ctx, t.period())
	}
}

// isAwaited reports whether commits wait for a target, and forgets its log if none do.
func (t *targetLogs) isAwaited(id topology.TargetID, log *targetLog) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if log.waiting == 0 {
		delete(t.logs, id)
	}
	return log.waiting > 0
}

// note changes what is known of a target's log, and wakes the commits that wait for it.
func (t *targetLogs) note(log *targetLog, change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
	close(log.changed)
	log.changed = make(chan struct{})
}
