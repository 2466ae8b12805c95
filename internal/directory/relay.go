package directory

import (
	"context"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// Feed is something that every VM follows in the store.
type Feed uint8

// The feeds.
const (
	Configurations Feed = iota + 1
	Registrations       // of the targets
	OwnRows             // of the system: groups, VMs, duty
)

// Versions are the store's versions of the newest changes that matter, by feed.
type Versions map[Feed]uint64

const (
	// relayTrust is how long what a coordinator told stands: two of the renewals that
	// bring it were lost, and a third is late.
	relayTrust = 700 * time.Millisecond
	// relayFresh is how long ago a watch may have been answered for its VM to tell of
	// it: the wait of a coordinator's watch, its rest after a change, and what a slow
	// store takes.
	relayFresh = 2 * time.Second
	// relayCheck is how often the store is asked although the coordinator tells of no
	// change.
	relayCheck = 10 * time.Second
)

// Relay spares VMs their own watches of the store: the coordinator, which has to watch it
// anyway, tells with each promise up to which version there is something new. A VM so told
// fetches the change from the store itself, so nothing has to be believed but that there is
// none; it watches by itself as soon as it is told nothing. 75 VMs made 270 calls a second,
// most of them for heartbeats of the targets that change nothing. Safe for concurrent use.
type Relay struct {
	mu sync.Mutex
	// told is what a coordinator told, last at heard.
	told  Versions
	heard mono.Time
	// noted is what this VM's own watches brought, with when they were last answered.
	noted    Versions
	answered map[Feed]mono.Time
	changed  chan struct{}
}

func newRelay() *Relay {
	return &Relay{told: Versions{}, noted: Versions{}, answered: map[Feed]mono.Time{}, changed: make(chan struct{})}
}

// Note takes over the version of the newest change that matters, as a watch of this VM that
// was answered at now has brought it.
func (r *Relay) Note(f Feed, version uint64, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noted[f] = max(r.noted[f], version)
	r.answered[f] = now
}

// Noted returns what this VM can tell others: the feeds whose watches work.
func (r *Relay) Noted(now mono.Time) Versions {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := Versions{}
	for f, at := range r.answered {
		if now.Sub(at) < relayFresh {
			v[f] = r.noted[f]
		}
	}
	return v
}

// Tell takes over what a coordinator told in answer to a message that was sent at sent.
// Feeds that it does not name it can't tell of.
func (r *Relay) Tell(v Versions, sent mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = max(r.heard, sent)
	news := false
	for f := Configurations; f <= OwnRows; f++ {
		news = news || v[f] > r.told[f] || v[f] == 0 && r.told[f] != 0
	}
	r.told = v
	if news {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// Await returns true when there is, or may be, a change of the feed after the version, and
// false as soon as nobody can tell.
func (r *Relay) Await(ctx context.Context, f Feed, after uint64, clock mono.Clock) bool {
	check := clock.Now().Add(relayCheck)
	for {
		r.mu.Lock()
		told, trusted, changed := r.told[f], r.heard.Add(relayTrust), r.changed
		r.mu.Unlock()
		now := clock.Now()
		switch {
		case told == 0 || !now.Before(trusted) || ctx.Err() != nil:
			return false
		case told > after || !now.Before(check):
			return true
		}
		wait.Until(ctx, changed, min(trusted, check).Sub(now))
	}
}
