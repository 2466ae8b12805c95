package directory

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// newsValidity is how long news from a coordinator is valid: the time in which another VM
	// takes the place of a silent coordinator, so that a change of the coordinator does not make
	// every VM ask the store for all feeds.
	newsValidity = 1200 * time.Millisecond
	// newsWait is how long after a listing of all rows a VM waits for news before it watches the
	// store itself.
	newsWait = 700 * time.Millisecond
	// maxAnswerAge is how long ago the store may have answered a VM's watch for the VM to report on
	// the feed: the wait of a coordinator's watch, its pause after a change, and the response time
	// of a slow store.
	maxAnswerAge = 2 * time.Second
	// recheckPeriod is how often a VM asks the store although the coordinator reports no change,
	// in case the coordinator misses one.
	recheckPeriod = time.Minute
	// startNewsWait is how long after it got all rows from another VM a VM waits for news before it
	// gets them again. No VM coordinates, and so none reports, until the rows of the groups are written,
	// which takes as long as the primaries don't answer. Meanwhile this VM learns of changes this late,
	// such as of a target that is leaving or of a configuration.
	startNewsWait = newsValidity
	// rowRetention is how long changes are sent as rows: in several promises, of which all but one
	// may be lost.
	rowRetention = 1200 * time.Millisecond
	// maxNewsBytes bounds the rows of a feed in one promise, which is a datagram to each VM.
	maxNewsBytes = 1000
	// rowOverhead is approximately how many bytes a row takes in a message besides its key and value.
	rowOverhead = 20
)

// Relay saves VMs their own watches of the store. The coordinator, which has to watch the store
// anyway, reports with each promise the version of the newest relevant change, and includes small
// changes as rows. These reports are called news. A VM fetches other changes from the store itself,
// and watches the store when no valid news is left. A VM whose calls the store rejects still receives
// changes. Most changes in the store are heartbeats of the targets, for which every VM would
// otherwise call the store again. It is safe for concurrent use.
type Relay struct {
	mu sync.Mutex
	// news is what a coordinator last reported on each feed, and confirmedAt when the message was
	// sent that the latest report answers.
	news        News
	confirmedAt map[Feed]mono.Time
	// previous is the report on each feed before the newest relevant change.
	previous map[Feed]report
	// feedState is what this VM itself has received of each feed.
	feedState map[Feed]*feedState
	// publishing is set while this VM coordinates and the others rely on its news. coordinatorKnown
	// is set once some VM is known to coordinate, so that this VM may wait for news.
	publishing, coordinatorKnown bool
	// inUse is set while there are enough VMs for one to report the changes to the others.
	inUse bool
	// started is closed while publishing is set.
	started chan struct{}
	// changed is closed and replaced when Await or AwaitSnapshot may have something to return.
	changed chan struct{}
	// snapshots holds all rows of the feeds that VMs fetch from each other.
	snapshots map[Feed]Snapshot
	// kept is the version of what this VM keeps although the store has lost it, by feed. reporter is the
	// VM that the latest news came from.
	kept     map[Feed]uint64
	reporter topology.VMID
}

// feedState is what a VM has received of a feed and can report.
type feedState struct {
	relevant, seen metastore.Version
	// answeredAt is when this VM's own watch was last answered, and listedAt when its listing was.
	answeredAt, listedAt mono.Time
	// startedAt is when this VM last got all rows from another one, 0 if it has listed them itself.
	startedAt mono.Time
	// watchableFrom is as in FeedNews.
	watchableFrom metastore.Version
	// recent are the newest relevant changes, all those after the version since.
	since  metastore.Version
	recent []recentRow
}

type recentRow struct {
	metastore.Row
	// receivedAt is when the row was received, and writtenAfter a moment before it was written.
	receivedAt, writtenAfter mono.Time
}

// report is what was reported on a feed: the version of the newest relevant change, and when that
// was last confirmed.
type report struct {
	relevant    metastore.Version
	confirmedAt mono.Time
}

func newRelay() *Relay {
	return &Relay{news: News{}, confirmedAt: map[Feed]mono.Time{}, previous: map[Feed]report{}, feedState: map[Feed]*feedState{}, changed: make(chan struct{}), started: make(chan struct{}), snapshots: map[Feed]Snapshot{}, kept: map[Feed]uint64{}}
}

// NoteListing records that this VM has listed all rows of a feed as of a version, and whether that
// showed anything new. If not, the others have nothing to fetch, unless the store has begun a new era:
// each VM has seen other changes that the store has lost.
func (r *Relay) NoteListing(f Feed, version metastore.Version, isNew bool, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := &feedState{relevant: version, seen: version, answeredAt: now, listedAt: now}
	if was := r.feedState[f]; was != nil && was.seen.Era == version.Era {
		s.watchableFrom = was.watchableFrom
		if !isNew {
			s.relevant = was.relevant
		}
	}
	s.since = s.relevant
	r.feedState[f] = s
}

// NoteStart records that this VM got all rows of a feed as of a version from another VM. It does not
// report on the feed before its own watch is answered.
func (r *Relay) NoteStart(f Feed, version metastore.Version, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.feedState[f] = &feedState{relevant: version, seen: version, since: version, startedAt: now}
}

// NoteChanges records the relevant changes up to the version seen, as returned by a watch of this
// VM that was answered at now. They were written after writtenAfter.
func (r *Relay) NoteChanges(f Feed, seen metastore.Version, rows []metastore.Row, writtenAfter, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.feedState[f]; s != nil {
		s.add(seen, rows, writtenAfter, now)
		s.answeredAt = now
	}
}

// NoteReceived records, as NoteChanges does, changes that were received from another VM. They alone
// do not make this VM report on the feed, but it has the changes if it becomes the coordinator.
func (r *Relay) NoteReceived(f Feed, seen metastore.Version, rows []metastore.Row, writtenAfter, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.feedState[f]; s != nil {
		s.add(seen, rows, writtenAfter, now)
	}
}

// NoteTooLarge records that a watch of this VM found more changes after the version seen than it
// reads. The others are informed before this VM has listed the changes itself: otherwise they would
// begin their own listings only at the end of this one, which takes a second.
func (r *Relay) NoteTooLarge(f Feed, seen metastore.Version, now mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s := r.feedState[f]; s != nil {
		s.relevant = metastore.Later(s.relevant, seen.Next())
		s.since, s.recent = s.relevant, nil
		s.answeredAt, s.watchableFrom = now, seen.Next()
	}
}

func (s *feedState) add(seen metastore.Version, rows []metastore.Row, writtenAfter, now mono.Time) {
	if seen.Era > s.seen.Era {
		// What the store has lost since the last listing is not among the rows.
		s.relevant, s.since, s.recent, s.watchableFrom = seen, seen, nil, metastore.Version{}
	}
	s.seen = metastore.Later(s.seen, seen)
	for _, row := range rows {
		if row.Version.After(s.relevant) {
			s.relevant = row.Version
			// Only the newest version of a row is of use.
			s.recent = slices.DeleteFunc(s.recent, func(r recentRow) bool { return r.Key == row.Key })
			s.recent = append(s.recent, recentRow{Row: row, receivedAt: now, writtenAfter: writtenAfter})
		}
	}
	s.trim(now)
}

// trim drops the rows that were sent for long enough, and the oldest ones if there are too many to send.
func (s *feedState) trim(now mono.Time) {
	size := 0
	for _, row := range s.recent {
		size += len(row.Key) + len(row.Value) + rowOverhead
	}
	for len(s.recent) > 0 && (size > maxNewsBytes || now.Sub(s.recent[0].receivedAt) > rowRetention) {
		first := s.recent[0]
		size -= len(first.Key) + len(first.Value) + rowOverhead
		s.since = first.Version
		s.recent = s.recent[1:]
	}
}

// Followed is the version up to which a VM has received the changes of each feed.
type Followed map[Feed]metastore.Version

// Followed returns the versions up to which this VM has received the changes.
func (r *Relay) Followed() Followed {
	r.mu.Lock()
	defer r.mu.Unlock()
	followed := make(Followed, len(r.feedState))
	for f, s := range r.feedState {
		followed[f] = s.seen
	}
	return followed
}

// NewsFor returns what this VM can report to one that has the changes up to the given versions: the
// feeds whose watches are answered, and the rows that the other VM lacks.
func (r *Relay) NewsFor(now mono.Time, followed Followed) News {
	r.mu.Lock()
	defer r.mu.Unlock()
	news := News{}
	for f, s := range r.feedState {
		if now.Sub(s.answeredAt) >= maxAnswerAge {
			continue
		}
		s.trim(now)
		item := FeedNews{Relevant: s.relevant, Seen: s.seen, WatchableFrom: s.watchableFrom, Era: s.seen.Era, Kept: r.kept[f]}
		if len(s.recent) > 0 {
			item.Since = s.since
		}
		for _, row := range s.recent {
			if row.Version.After(followed[f]) {
				item.Rows = append(item.Rows, row.Row)
				item.Age = max(item.Age, now.Sub(row.writtenAfter))
			}
		}
		news[f] = item
	}
	return news
}

// SetPublishing sets whether the other VMs rely on this one's news. When they begin to, this VM asks
// the store at once, so that it can report: the others watch the store themselves until it does.
func (r *Relay) SetPublishing(publishing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.publishing == publishing {
		return
	}
	r.publishing = publishing
	if publishing {
		close(r.started)
	} else {
		r.started = make(chan struct{})
	}
	r.wake()
}

// setInUse sets whether there are enough VMs for one to report the changes to the others.
func (r *Relay) setInUse(inUse bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inUse != inUse {
		r.inUse = inUse
		r.wake()
	}
}

// publishingStarted returns a channel that is closed when the others begin to rely on this VM, and
// is closed already if they do.
func (r *Relay) publishingStarted() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.started
}

// Publishing reports whether the other VMs rely on this one's news.
func (r *Relay) Publishing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.publishing
}

// NoteCoordinator records that some VM is known to coordinate. Before that, a VM watches the store
// itself: when VMs start for the first time, no coordinator reports the VMs that register, and the
// first row needs them as witnesses.
func (r *Relay) NoteCoordinator() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.coordinatorKnown = true
}

func (r *Relay) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Receive stores what the coordinator from reported in answer to a message that was sent at sent. The
// coordinator leaves out feeds that it can't report on. Earlier news of those stays valid for a
// while: a new coordinator first asks the store, and otherwise all VMs would do the same meanwhile.
func (r *Relay) Receive(from topology.VMID, news News, sent mono.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reporter = from
	isNew := false
	for f, item := range news {
		if was := r.news[f]; item.hasChangeAfter(was.Relevant) {
			isNew = true
			r.previous[f] = report{relevant: was.Relevant, confirmedAt: r.confirmedAt[f]}
		}
		isNew = isNew || item.Kept != r.news[f].Kept
		if item.Age > 0 {
			item.writtenAfter = sent.Add(-item.Age)
		}
		r.news[f], r.confirmedAt[f] = item, max(r.confirmedAt[f], sent)
	}
	if isNew {
		r.wake()
	}
}

// Action is what a watcher that follows a feed up to a version does next.
type Action uint8

// The actions.
const (
	// Watch is returned when no VM can report on the feed.
	Watch Action = iota
	// Fetch is returned when the store has, or may have, a change.
	Fetch
	// List is returned when the store has more changes than a watch reads.
	List
	// Apply is returned when the news contains the changes.
	Apply
	// Restart is returned when a VM that got all rows from another one has waited for news in vain.
	Restart
)

// currentAt returns the last moment at which, according to the news received, a VM that follows a
// feed up to a version had all relevant changes; 0 if the news does not show one.
func (r *Relay) currentAt(f Feed, version metastore.Version) mono.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	last := report{relevant: r.news[f].Relevant, confirmedAt: r.confirmedAt[f]}
	if last.relevant.After(version) {
		last = r.previous[f]
	}
	if last.relevant.IsZero() || last.relevant.After(version) {
		return 0
	}
	return last.confirmedAt.Add(-maxAnswerAge)
}

// Await returns what to do once there is, or may be, a change of the feed after the version, and
// at once when no VM can report on the feed. It also returns the latest news of the feed: with
// Apply, that has all relevant changes after the version; otherwise it shows that there is none up
// to its Seen version if its Relevant version is not after the given one.
func (r *Relay) Await(ctx context.Context, f Feed, after metastore.Version, clock mono.Clock) (Action, FeedNews) {
	recheckAt := clock.Now().Add(recheckPeriod)
	for {
		r.mu.Lock()
		news, validUntil, changed := r.news[f], r.confirmedAt[f].Add(newsValidity), r.changed
		publishing, answeredAt, waitUntil, startedAt := r.publishing, mono.Time(0), mono.Time(0), mono.Time(0)
		if s := r.feedState[f]; s != nil {
			answeredAt = s.answeredAt
			if r.inUse {
				startedAt = s.startedAt
			}
			if r.coordinatorKnown {
				waitUntil = s.listedAt.Add(newsWait)
			}
		}
		r.mu.Unlock()
		now := clock.Now()
		noNews := news.Relevant.IsZero() || !now.Before(validUntil)
		switch {
		case ctx.Err() != nil:
			return Watch, news
		case publishing && now.Sub(answeredAt) >= maxAnswerAge:
			return Fetch, news
		case publishing:
			return Watch, news
		case noNews && startedAt != 0 && news.Relevant.IsZero() && !now.Before(startedAt.Add(startNewsWait)):
			return Restart, news
		case noNews && startedAt != 0 && news.Relevant.IsZero():
			wait.Until(ctx, changed, startedAt.Add(startNewsWait).Sub(now))
			continue
		case noNews && now.Before(waitUntil):
			wait.Until(ctx, changed, waitUntil.Sub(now))
			continue
		case noNews:
			return Watch, news
		case news.Relevant.After(after) && news.hasRowsAfter(after):
			return Apply, news
		case news.Relevant.After(after) && news.WatchableFrom.After(after):
			return List, news
		case news.hasChangeAfter(after) || !now.Before(recheckAt):
			return Fetch, news
		}
		wait.Until(ctx, changed, min(validUntil, recheckAt).Sub(now))
	}
}
