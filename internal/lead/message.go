package lead

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/quota"
	"github.com/buckthornshore/buckthornshore/pkg/slotshare"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

type messageKind uint8

const (
	// renewal requests a coordinator's promise.
	renewal messageKind = iota + 1
	// promise answers a renewal.
	promise
	// notice announces changed rows.
	notice
	// question asks whether a VM can reach a coordinator.
	question
	// opinion answers a question.
	opinion
	// warning lists customers that are close to their limits.
	warning
)

var kindNames = map[messageKind]string{
	renewal: "renewal", promise: "promise", notice: "notice", question: "question", opinion: "opinion", warning: "warning",
}

func (k messageKind) String() string { return kindNames[k] }

// message is one datagram between two VMs. All messages are idempotent, and a lost message is
// compensated by the next one.
type message struct {
	Kind        messageKind          `msgpack:"k"`
	From        topology.VMID        `msgpack:"f"`
	Incarnation topology.Incarnation `msgpack:"i"`
	// Sequence is the number of a renewal; the promise that answers it has the same number.
	Sequence uint64 `msgpack:"s"`
	// Groups are the groups that the message is about. A renewal with a digest lists only those
	// whose primary is failing or saturated as observed by the sender.
	Groups []groupEntry `msgpack:"g,omitempty"`
	// Digest covers, in a renewal, all rows of the coordinator that the sender knows; in a promise,
	// the rows that the promise was given for. A promise with neither a digest nor groups requests
	// a renewal that lists all groups.
	Digest uint64 `msgpack:"d,omitempty"`
	// Whole is set if Groups are all groups that the sender of a renewal follows at the receiver.
	Whole bool `msgpack:"c,omitempty"`
	// Reached holds, in a renewal with a digest, the groups whose primary answers the sender.
	Reached groupSet `msgpack:"r,omitempty"`
	// Refused holds, in a promise with a digest, the groups for which no promise was given.
	// StoreLost has the meaning of groupEntry.StoreLost, for all groups.
	Refused groupSet `msgpack:"u,omitempty"`
	// Positions are, in a promise with a digest, the newest positions of the primaries, in the
	// order of the groups.
	Positions []positionSample `msgpack:"p,omitempty"`
	StoreLost bool             `msgpack:"o,omitempty"`
	// Leaving is set when the sender is about to shut down.
	Leaving bool `msgpack:"l,omitempty"`
	// Starved lists targets to which the sender of a renewal gets fewer connections than its share;
	// in a promise, those to which any VM does.
	Starved []topology.TargetID `msgpack:"t,omitempty"`
	// Followed is, in a renewal, how far the sender has followed the store; News is, in a promise,
	// what has changed there since.
	Followed directory.Followed `msgpack:"w,omitempty"`
	News     directory.News     `msgpack:"n,omitempty"`
	// Usage is, in a renewal, what the sender admitted for customers, and Quota, in a promise, is
	// the answer to it. Both are exchanged only with the coordinator of the first group. Near
	// lists, in a warning, customers that are close to their limits.
	Usage []quota.Usage `msgpack:"q,omitempty"`
	Quota *quota.Answer `msgpack:"y,omitempty"`
	Near  []quota.Tag   `msgpack:"z,omitempty"`
	// Term is the sender's allocator term, in messages with any of the three. Earlier builds leave it out.
	Term *allocatorTerm `msgpack:"qt,omitempty"`
	// Carried holds, in a renewal to an allocator that has not answered yet, what its sender carries over from
	// the allocator before it, in the order of Usage. Fractions are the fractions of Quota's shares, in their order.
	Carried   []carried `msgpack:"qc,omitempty"`
	Fractions []uint16  `msgpack:"yf,omitempty"`
	// SlotDemand is, in a renewal, what waits at the targets that the sender holds and the receiver coordinates;
	// SlotShares are, in a promise, the receiver's shares of targets' slots.
	SlotDemand []slotshare.Demand `msgpack:"b,omitempty"`
	SlotShares []slotshare.Share  `msgpack:"e,omitempty"`
	// About is the coordinator that a question and its opinion refer to. Reachable is set in an
	// opinion if its sender receives the coordinator's messages.
	About     topology.VMID `msgpack:"a,omitempty"`
	Reachable bool          `msgpack:"h,omitempty"`
}

// groupEntry is what a message contains about one group.
type groupEntry struct {
	Group topology.GroupID `msgpack:"g"`
	// Version is the row version that the sender has adopted.
	Version uint64 `msgpack:"v"`
	// Promised is set when the coordinator gives its promise.
	Promised bool `msgpack:"p,omitempty"`
	// Row is included for a VM that knows an older version.
	Row *lease.Row `msgpack:"r,omitempty"`
	// Target, Reached and FailingMS report the state of the primary as observed by the sender.
	Target    topology.TargetID `msgpack:"t,omitempty"`
	Reached   bool              `msgpack:"o,omitempty"`
	FailingMS int64             `msgpack:"x,omitempty"`
	// Saturated is set when the primary refuses the sender's statements because of overload.
	Saturated bool `msgpack:"u,omitempty"`
	// StoreLost is set when the coordinator does not reach the store and so cannot replace the
	// primary; another VM should take over from it.
	StoreLost bool `msgpack:"l,omitempty"`
}

// encode writes integers in their shortest form: most are small, and a promise has three of them
// for each group.
func encode(m *message) ([]byte, error) {
	var raw bytes.Buffer
	enc := msgpack.NewEncoder(&raw)
	enc.UseCompactInts(true)
	err := enc.Encode(m)
	return raw.Bytes(), err
}

func decode(raw []byte) (*message, error) {
	m := &message{}
	return m, msgpack.Unmarshal(raw, m)
}
