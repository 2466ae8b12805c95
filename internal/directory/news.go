package directory

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// Feed identifies a set of rows in the store that every VM follows.
type Feed uint8

// The feeds.
const (
	Configurations Feed = iota + 1
	Registrations       // of the targets
	OwnRows             // of this system itself: groups, VMs, duty
)

// FeedNews is what a coordinator reports on one feed.
type FeedNews struct {
	// Relevant is the version of the newest change that is relevant to the VMs.
	Relevant metastore.Version `msgpack:"m"`
	// Seen is the version up to which the coordinator has seen all changes.
	Seen metastore.Version `msgpack:"s"`
	// Rows are the relevant changes after the version Since that the receiver lacks, the oldest
	// first. There are none if they are old or large.
	Since metastore.Version `msgpack:"b,omitempty"`
	Rows  []metastore.Row   `msgpack:"r,omitempty"`
	// Age is an upper bound on the time since the oldest of Rows was written; 0 if the sender
	// does not report it.
	Age time.Duration `msgpack:"a,omitempty"`
	// writtenAfter is a moment before Rows were written, by the clock of the receiving VM; 0 if not known.
	writtenAfter mono.Time
	// WatchableFrom is the lowest version from which a watch is of use: after earlier versions there
	// are more changes than a watch reads.
	WatchableFrom metastore.Version `msgpack:"l,omitempty"`
	// Era is the era of all versions in the news.
	Era uint64 `msgpack:"e,omitempty"`
	// Kept is set while the sender keeps rows that the store has lost: the version of what they declare.
	Kept uint64 `msgpack:"k,omitempty"`
}

// hasChangeAfter reports whether the store has, or may have, a relevant change after the version.
func (n *FeedNews) hasChangeAfter(version metastore.Version) bool {
	return n.Relevant.After(version) || n.Seen.Era > version.Era
}

// hasRowsAfter reports whether Rows are all relevant changes after the version.
func (n *FeedNews) hasRowsAfter(version metastore.Version) bool {
	sameEra := n.Since.Era == version.Era && n.Relevant.Era == version.Era
	return len(n.Rows) > 0 && sameEra && !n.Since.After(version)
}

// News is what a coordinator reports, by feed.
type News map[Feed]FeedNews
