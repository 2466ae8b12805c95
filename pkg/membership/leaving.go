package membership

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// MinNotice is the minimum time between the announcement and the exit. Before
// that, peers that have not yet received the announcement still send requests,
// and an exit at the first idle moment would cut them off.
const MinNotice = 2 * time.Second

// Action is a step that a leaving VM takes now. Each action is idempotent and is
// returned by every tick until its effect shows in the Load, so that a lost
// message is repeated.
type Action int

// The actions of a planned stop.
const (
	// Announce tells the platform's list and the peers that this VM leaves.
	Announce Action = iota + 1
	// RefuseNewSessions refuses new sessions with result code Leaving.
	RefuseNewSessions
	// AskIdleToReconnect ends sessions that have no open transaction; their
	// callers reconnect and the load balancer sends them to other VMs.
	AskIdleToReconnect
	// HandOverPoolers hands the targets' connections over to the VM that is next
	// in rank.
	HandOverPoolers
	// HandOverPromoters makes the groups' rows name other promoters. If a VM exits
	// while a row still names it, the group loses its right to acknowledge.
	HandOverPromoters
	// Exit ends the process: no work remains, or the drain time is over.
	Exit
)

// String returns the action's name in logs.
func (a Action) String() string {
	names := [...]string{
		Announce: "announce", RefuseNewSessions: "refuse-new-sessions", AskIdleToReconnect: "ask-idle-to-reconnect",
		HandOverPoolers: "hand-over-poolers", HandOverPromoters: "hand-over-promoters", Exit: "exit",
	}
	if a < Announce || a > Exit {
		return "invalid"
	}
	return names[a]
}

// Load is the work that a leaving VM still holds.
type Load struct {
	// Announced reports whether the platform, or every reachable peer of the data
	// centre, has been told that the VM leaves.
	Announced bool
	// IdleSessions counts sessions without an open transaction or a running
	// statement.
	IdleSessions int
	// Running counts open transactions and running statements, both of the VM's
	// own callers and of other VMs that use it as a pooler.
	Running    int
	Poolers    int
	Promoters  int
	Unanswered int // Answers computed but not yet returned to their callers.
}

func (l Load) empty() bool {
	return l.IdleSessions == 0 && l.Running == 0 && l.Poolers == 0 && l.Promoters == 0 && l.Unanswered == 0
}

// Stop is the state of a planned stop of this VM.
type Stop struct {
	started   mono.Time
	drain     time.Duration
	exited    bool
	remaining Load
}

// NewStop begins a planned stop at now that lasts at most drain, or MinNotice
// when that is longer.
func NewStop(now mono.Time, drain time.Duration) *Stop {
	return &Stop{started: now, drain: max(drain, MinNotice)}
}

// Tick returns the actions to take at now. Once it has returned Exit, it returns
// only Exit.
func (s *Stop) Tick(now mono.Time, load Load) []Action {
	if s.exited || s.finished(now, load) {
		if !s.exited {
			s.exited, s.remaining = true, load
		}
		return []Action{Exit}
	}
	actions := []Action{RefuseNewSessions}
	if !load.Announced {
		actions = append(actions, Announce)
	}
	if load.IdleSessions > 0 {
		actions = append(actions, AskIdleToReconnect)
	}
	if load.Poolers > 0 {
		actions = append(actions, HandOverPoolers)
	}
	if load.Promoters > 0 {
		actions = append(actions, HandOverPromoters)
	}
	return actions
}

func (s *Stop) finished(now mono.Time, load Load) bool {
	waited := now.Sub(s.started)
	if waited >= s.drain {
		return true
	}
	return load.empty() && load.Announced && waited >= MinNotice
}

// Remaining returns the load that remained at the exit. All its counts are zero if
// the stop cut off no work.
func (s *Stop) Remaining() Load { return s.remaining }
