package membership

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// MinNotice is the least time between the announcement and the exit. Until it
// has passed, peers may not have heard that the VM leaves and still send it
// requests; a VM that exits on the first idle instant would cut them.
const MinNotice = 2 * time.Second

// Action is something that a leaving VM does now. Each is idempotent and is
// asked for at every tick until it has shown its effect, so that a lost message
// is made good.
type Action int

// The actions of a planned stop.
const (
	// Announce: tell the platform's list and the peers that this VM leaves.
	Announce Action = iota + 1
	// RefuseNewSessions with result code Leaving.
	RefuseNewSessions
	// AskIdleToReconnect: end sessions that have no transaction open; their
	// callers connect again and the balancer sends them elsewhere.
	AskIdleToReconnect
	// HandOverPoolers: the next VM in rank takes the targets' connections.
	HandOverPoolers
	// HandOverPromoters: the groups' rows name other promoters. A VM that exits
	// while a row still names it ends the right to acknowledge of that group.
	HandOverPromoters
	// Exit: nothing is left, or the drain time is over.
	Exit
)

// String names the action as logs do.
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

// Load is what a leaving VM still holds.
type Load struct {
	// Announced: the platform or every reachable peer of the data centre knows.
	Announced bool
	// IdleSessions have no transaction open and no statement running.
	IdleSessions int
	// Running counts open transactions and statements, its own callers' and
	// those that it runs as a pooler.
	Running    int
	Poolers    int
	Promoters  int
	Unanswered int // Answers computed but not yet handed to their callers.
}

func (l Load) empty() bool {
	return l.IdleSessions == 0 && l.Running == 0 && l.Poolers == 0 && l.Promoters == 0 && l.Unanswered == 0
}

// Stop is the plan of a planned stop.
type Stop struct {
	started mono.Time
	drain   time.Duration
	exited  bool
	left    Load
}

// NewStop begins a planned stop at now that lasts at most drain, or MinNotice
// when that is longer.
func NewStop(now mono.Time, drain time.Duration) *Stop {
	return &Stop{started: now, drain: max(drain, MinNotice)}
}

// Tick returns what to do at now. After Exit it returns Exit only.
func (s *Stop) Tick(now mono.Time, load Load) []Action {
	if s.exited || s.over(now, load) {
		if !s.exited {
			s.exited, s.left = true, load
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

func (s *Stop) over(now mono.Time, load Load) bool {
	waited := now.Sub(s.started)
	if waited >= s.drain {
		return true
	}
	return load.empty() && load.Announced && waited >= MinNotice
}

// Left returns what was still held at the exit; all zero for a stop that cut
// nothing.
func (s *Stop) Left() Load { return s.left }
