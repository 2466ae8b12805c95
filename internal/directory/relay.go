package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
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

// Told is what a coordinator tells of one feed.
type Told struct {
	// Matters is the version of the newest change that matters to the VMs.
	Matters uint64 `msgpack:"m"`
	// Seen is the version up to which the coordinator has seen everything.
	Seen uint64 `msgpack:"s"`
	// Rows are the changes that matter after the version Since, the oldest first. There are
	// none if they are old or large.
	Since uint64          `msgpack:"b,omitempty"`
	Rows  []metastore.Row `msgpack:"r,omitempty"`
	// Age is how long ago the oldest of Rows was written at most; 0: the teller does not say.
	Age time.Duration `msgpack:"a,omitempty"`
	// after is a moment before Rows were written, by the clock of the VM that was told; 0: not known.
	after mono.Time
	// Large is the version up to which a VM must have come for its watch to be of use: from
	// earlier ones on there are more changes than a watch reads.
	Large uint64 `msgpack:"l,omitempty"`
}

// News is what a coordinator tells, by feed.
type News map[Feed]Told

const (
	// relayTrust is how long what a coordinator told stands: the time in which another VM
	// takes a silent one's place, so that a change of the coordinator does not have every VM ask the
	// store for all that it follows.
	relayTrust = 1200 * time.Millisecond
	// relayHope is how long after a listing, which shows everything, a VM waits to be told
	// before it watches by itself.
	relayHope = 700 * time.Millisecond
	// relayFresh is how long ago a watch may have been answered for its VM to tell of
	// it: the wait of a coordinator's watch, its rest after a change, and what a slow
	// store takes.
	relayFresh = 2 * time.Second
	// relayCheck is how often the store is asked although the coordinator tells of no
	// change: in case that it does not see one.
	relayCheck = time.Minute
	// relayRows is how long changes are told as rows: in several promises, of which all but one may
	// be lost.
	relayRows = 1200 * time.Millisecond
	// relayBytes bounds the rows of a feed in one promise, which is a datagram to each VM.
	relayBytes = 1000
	// rowOverhead is about what a row takes in a message besides its key and value.
	rowOverhead = 20
)

// Relay spares VMs their own watches of the store: the coordinator, which has to watch it
// anyway, tells with each promise up to which version there is something new, and small
// changes as such. A VM fetches others from the store itself, and watches it as soon as it is
// told nothing. A VM that the store turns away hears of changes nevertheless. Most changes in the
// store are heartbeats of the targets, which would have every VM call again. Safe for concurrent
// use.
type Relay struct {
	mu sync.Mutex
	// told is what a coordinator told of each feed, last at heard.
	told  News
	heard map[Feed]mono.Time
	// before is what was told before the newest change that matters.
	before map[Feed]quiet
	// noted is what this VM knows of each feed itself.
	noted map[Feed]*noted
	// telling: this VM coordinates, and the others rely on what it tells. expected: some VM is
	// known to coordinate, so that this one may hope to be told.
	telling, expected bool
	// begun is closed while telling.
	begun   chan struct{}
	changed chan struct{}
	// kept are whole feeds that other VMs may ask for.
	kept map[Feed]Kept
}

// noted is what a VM knows of a feed, and could tell.
type noted struct {
	matters, seen uint64
	// answered is when this VM's own watch was last answered, and listed when its listing was.
	answered, listed mono.Time
	// large is as in Told.
	large uint64
	// recent are the newest changes that matter, after the version since.
	since  uint64
	recent []recentRow
}

type recentRow struct {
	metastore.Row
	// at is when the row was taken over, and after a moment before it was written.
	at, after mono.Time
}

// quiet is what was told of a feed until something new was: up to which version something matters, and when
// that was last heard.
type quiet struct {
	matters uint64
	heard   mono.Time
}

func newRelay() *Relay {
	return &Relay{told: News{}, heard: map[Feed]mono.Time{}, before: map[Feed]quiet{}, noted: map[Feed]*noted{}, changed: make(chan struct{}), begun: make(chan struct{}), kept: map[Feed]Kept{}}
}

// NoteListing takes over that this VM has listed all rows of a feed as of a version, and whether that
// showed something new. If not, the others have nothing to fetch.
func (r *Relay) NoteListing(f Feed, version uint64, news bool, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := &noted{matters: version, seen: version, answered: now, listed: now}
	if was := r.noted[f]; was != nil {
		n.large = was.large
		if !news {
			n.matters = was.matters
		}
	}
	n.since = n.matters
	r.noted[f] = n
}

// NoteChanges takes over the changes that matter up to the version seen, as a watch of this VM
// that was answered at now has brought them. They were written after the given moment.
func (r *Relay) NoteChanges(f Feed, seen uint64, rows []metastore.Row, after, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.noted[f]; n != nil {
		n.add(seen, rows, after, now)
		n.answered = now
	}
}

// NoteTold takes over the same as another VM has told it. This VM does not tell of a feed by
// that alone, but knows the changes if it comes to coordinate.
func (r *Relay) NoteTold(f Feed, seen uint64, rows []metastore.Row, after, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.noted[f]; n != nil {
		n.add(seen, rows, after, now)
	}
}

// NoteLarge takes over that a watch of this VM found more changes after the version seen than it
// reads. That is told before this VM has listed them itself: at the end of a listing that takes a
// second, the others would only begin theirs.
func (r *Relay) NoteLarge(f Feed, seen uint64, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := r.noted[f]; n != nil {
		n.matters = max(n.matters, seen+1)
		n.since, n.recent = n.matters, nil
		n.answered, n.large = now, seen+1
	}
}

func (n *noted) add(seen uint64, rows []metastore.Row, after, now mono.Time) {
	n.seen = max(n.seen, seen)
	for _, row := range rows {
		if row.Version > n.matters {
			n.matters = row.Version
			// Only the newest version of a row is of use.
			n.recent = slices.DeleteFunc(n.recent, func(r recentRow) bool { return r.Key == row.Key })
			n.recent = append(n.recent, recentRow{Row: row, at: now, after: after})
		}
	}
	n.forget(now)
}

// forget drops rows that are told for long enough, or too many to be told.
func (n *noted) forget(now mono.Time) {
	size := 0
	for _, row := range n.recent {
		size += len(row.Key) + len(row.Value) + rowOverhead
	}
	for len(n.recent) > 0 && (size > relayBytes || now.Sub(n.recent[0].at) > relayRows) {
		first := n.recent[0]
		size -= len(first.Key) + len(first.Value) + rowOverhead
		n.since = first.Version
		n.recent = n.recent[1:]
	}
}

// Followed is up to which version a VM has taken over the changes of each feed.
type Followed map[Feed]uint64

// Followed returns how far this VM has come.
func (r *Relay) Followed() Followed {
	r.mu.Lock()
	defer r.mu.Unlock()
	followed := make(Followed, len(r.noted))
	for f, n := range r.noted {
		followed[f] = n.seen
	}
	return followed
}

// Noted returns what this VM can tell one that has come so far: the feeds whose watches work, and the
// rows that it lacks.
func (r *Relay) Noted(now mono.Time, followed Followed) News {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := News{}
	for f, n := range r.noted {
		if now.Sub(n.answered) >= relayFresh {
			continue
		}
		n.forget(now)
		t := Told{Matters: n.matters, Seen: n.seen, Large: n.large}
		if len(n.recent) > 0 {
			t.Since = n.since
		}
		for _, row := range n.recent {
			if row.Version > followed[f] {
				t.Rows = append(t.Rows, row.Row)
				t.Age = max(t.Age, now.Sub(row.after))
			}
		}
		news[f] = t
	}
	return news
}

// SetTelling says whether the other VMs rely on this one. As they begin to, it asks the store at
// once, so that it can tell: the others watch by themselves until it does.
func (r *Relay) SetTelling(telling bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.telling == telling {
		return
	}
	r.telling = telling
	if telling {
		close(r.begun)
	} else {
		r.begun = make(chan struct{})
	}
	r.wake()
}

// begins returns a channel that is closed when the others begin to rely on this VM, and is closed
// already if they do.
func (r *Relay) begins() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.begun
}

// Telling reports whether the other VMs rely on this one.
func (r *Relay) Telling() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.telling
}

// Expect notes that some VM is known to coordinate. Before that a VM watches by itself: as VMs start for the
// first time nobody tells of those that register, and a first row needs them as witnesses.
func (r *Relay) Expect() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expected = true
}

func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Tell takes over what a coordinator told in answer to a message that was sent at sent.
// Feeds that it does not name it can't tell of. What was told of them before stands for a while: a new
// coordinator first asks the store, and all VMs would do the same meanwhile.
func (r *Relay) Tell(told News, sent mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := false
	for f, t := range told {
		if was := r.told[f].Matters; t.Matters > was {
			news = true
			r.before[f] = quiet{matters: was, heard: r.heard[f]}
		}
		if t.Age > 0 {
			t.after = sent.Add(-t.Age)
		}
		r.told[f], r.heard[f] = t, max(r.heard[f], sent)
	}
	if news {
		r.wake()
	}
}

// Advice says what a watcher that follows a feed up to a version is to do.
type Advice uint8

// The kinds of advice.
const (
	// Watch: nobody can tell of the feed.
	Watch Advice = iota
	// Fetch: the store has, or may have, a change.
	Fetch
	// List: the store has more changes than a watch reads.
	List
	// Take: the change is told.
	Take
)

// currentAt returns the last moment at which, by what was told, a VM that follows a feed up to a version had
// all that matters; 0: nothing tells.
func (r *Relay) currentAt(f Feed, version uint64) mono.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := quiet{matters: r.told[f].Matters, heard: r.heard[f]}
	if last.matters > version {
		last = r.before[f]
	}
	if last.matters == 0 || last.matters > version {
		return 0
	}
	return last.heard.Add(-relayFresh)
}

// Await returns what to do once there is, or may be, a change of the feed after the version,
// and at once when nobody can tell. Besides comes what was told last, which with Take has
// all changes after the version, and otherwise shows that there is none up to its Seen if
// its Matters is no later than the version.
func (r *Relay) Await(ctx context.Context, f Feed, after uint64, clock mono.Clock) (Advice, Told) {
	check := clock.Now().Add(relayCheck)
	for {
		r.mu.Lock()
		told, trusted, changed := r.told[f], r.heard[f].Add(relayTrust), r.changed
		telling, answered, hoped := r.telling, mono.Time(0), mono.Time(0)
		if n := r.noted[f]; n != nil {
			answered = n.answered
			if r.expected {
				hoped = n.listed.Add(relayHope)
			}
		}
		r.mu.Unlock()
		now := clock.Now()
		untold := told.Matters == 0 || !now.Before(trusted)
		switch {
		case ctx.Err() != nil:
			return Watch, told
		case telling && now.Sub(answered) >= relayFresh:
			return Fetch, told
		case telling:
			return Watch, told
		case untold && now.Before(hoped):
			wait.Until(ctx, changed, hoped.Sub(now))
			continue
		case untold:
			return Watch, told
		case told.Matters > after && len(told.Rows) > 0 && told.Since <= after:
			return Take, told
		case told.Matters > after && told.Large > after:
			return List, told
		case told.Matters > after || !now.Before(check):
			return Fetch, told
		}
		wait.Until(ctx, changed, min(trusted, check).Sub(now))
	}
}
