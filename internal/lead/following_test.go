package lead

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// fleetSizes are numbers of groups, which grow with the VMs.
var fleetSizes = []int{100, 300, 1000}

// newUser returns a coordinator of many groups and a VM whose callers use a few of them.
func newUser(groups, used int) (coordinator, user *Lead, clock *mono.Manual) {
	coordinator, user, clock = newPair(groups)
	clear(user.following.wanted)
	for i := range used {
		user.following.wanted[groupNumber(10*i+5)] = clock.Now()
	}
	user.following.stale = true
	return coordinator, user, clock
}

// exchange passes a renewal in full and then one by digest, and returns the sizes of the latter and of its
// answer in bytes.
func exchange(t *testing.T, coordinator, user *Lead, clock *mono.Manual) (renewed, promised int) {
	t.Helper()
	full := &message{Kind: renewal, From: user.self.ID, Incarnation: 1, Sequence: 1, Whole: true}
	for _, row := range user.rowsOf("vm-1") {
		full.Groups = append(full.Groups, user.entryFor(row.Group, row))
	}
	coordinator.promiseInFull(full, &message{}, clock.Now())
	m := renewalOf(user)
	answer := &message{Kind: promise, From: "vm-1", Incarnation: 1, Sequence: m.Sequence}
	coordinator.promiseByDigest(m, answer, clock.Now())
	if answer.Digest == 0 {
		t.Fatal("the coordinator does not know which groups the VM follows")
	}
	user.handlePromise(answer)
	return sizeOf(t, m), sizeOf(t, answer)
}

func sizeOf(t *testing.T, m *message) int {
	t.Helper()
	raw, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return len(raw)
}

// Guards against messages that grow with the groups of the whole deployment: each VM exchanges one with
// the coordinator four times a second.
func TestMessagesFollowTheGroupsThatAVMUses(t *testing.T) {
	const used = 8
	var first int
	for _, groups := range fleetSizes {
		coordinator, user, clock := newUser(groups, used)
		coordinator.positions = nil
		renewed, promised := exchange(t, coordinator, user, clock)
		if first == 0 {
			first = renewed + promised
		}
		if renewed+promised > first+16 {
			t.Errorf("%d groups: %d and %d bytes, %d together with %d groups", groups, renewed, promised, first, fleetSizes[0])
		}
		if _, ok := user.Right(groupNumber(5)); !ok {
			t.Errorf("%d groups: no right for a group in use", groups)
		}
		if n := len(user.followed()); n != used+1 {
			t.Errorf("%d groups: the VM follows %d", groups, n)
		}
	}
}

// Guards against a caller that waits for the next renewal: the promise for a group that the VM has not
// followed is requested at once.
func TestANewlyUsedGroupIsAskedForAtOnce(t *testing.T) {
	coordinator, user, clock := newUser(300, 1)
	exchange(t, coordinator, user, clock)
	user.Transport = silentTransport(t)
	user.Directory.SetVM(topology.VM{ID: "vm-1", Incarnation: 1, PeerAddress: "127.0.0.1:9"})
	clock.T = clock.T.Add(10 * time.Millisecond)
	due := user.renewals["vm-1"].sent
	before := user.renewals["vm-1"].sequence
	if _, ok := user.Right(groupNumber(77)); ok {
		t.Fatal("a right that nobody has promised")
	}
	x := user.renewals["vm-1"]
	if x.sequence != before+1 || x.sent != due {
		t.Fatalf("%d requests; the next renewal is counted from %v in place of %v", x.sequence-before, x.sent, due)
	}
	answer := &message{Kind: promise, From: "vm-1", Incarnation: 1, Sequence: x.sequence}
	coordinator.promiseInFull(&message{From: "vm-2", Incarnation: 1, Groups: []groupEntry{user.entryFor(groupNumber(77), rowNumber(77))}}, answer, clock.Now())
	user.handlePromise(answer)
	if _, ok := user.Right(groupNumber(77)); !ok {
		t.Fatal("no right after the promise")
	}
	if m := renewalOf(user); !isPromised(coordinator, m, clock) {
		t.Fatal("the coordinator does not know that the VM follows one group more")
	}
}

func isPromised(coordinator *Lead, m *message, clock *mono.Manual) bool {
	answer := &message{}
	coordinator.promiseByDigest(m, answer, clock.Now())
	return answer.Digest != 0
}

// Guards against a VM that goes on following what its callers used once.
func TestAnUnusedGroupIsDropped(t *testing.T) {
	_, user, clock := newUser(300, 4)
	clock.T = clock.T.Add(followTTL + followPeriod)
	user.pruneFollowing(clock.Now())
	if n := len(user.followed()); n != 1 {
		t.Fatalf("%d groups are followed", n)
	}
}

// Guards against a coordinator that loses contact with its witnesses because they do not use the group.
func TestAWitnessFollowsItsGroups(t *testing.T) {
	_, user, _ := newUser(300, 0)
	row := rowNumber(42)
	row.Version, row.Witnesses = 2, []topology.VMID{"vm-2"}
	user.holder.Adopt(row)
	former := rowNumber(43)
	former.Version, former.Formers = 2, []lease.Former{{VM: "vm-3", Version: 2, Witnesses: []topology.VMID{"vm-2"}}}
	user.holder.Adopt(former)
	if got := user.followed(); !slices.Equal(got, []topology.GroupID{groupNumber(0), groupNumber(42), groupNumber(43)}) {
		t.Fatalf("followed: %v", got)
	}
}

// Guards against a change of one group that is told to every VM.
func TestANoticeGoesToFollowersOnly(t *testing.T) {
	for _, vms := range fleetSizes {
		coordinator, _, _ := newUser(vms, 0)
		for i := range vms {
			id := topology.VMID(fmt.Sprint("vm-", i))
			coordinator.Directory.SetVM(topology.VM{ID: id, Incarnation: 1})
			coordinator.subscribed[id] = []topology.GroupID{groupNumber(i)}
		}
		row := rowNumber(7)
		row.Witnesses = []topology.VMID{"vm-50", "vm-60"}
		if got := coordinator.followersOf([]*lease.Row{row}); !slices.Equal(got, []topology.VMID{"vm-50", "vm-60", "vm-7"}) {
			t.Errorf("%d VMs: notified are %v", vms, got)
		}
		if got := coordinator.followersOf([]*lease.Row{rowNumber(0)}); len(got) != vms {
			t.Errorf("%d VMs: %d are notified of the first group, which all follow", vms, len(got))
		}
	}
}

// Guards against a replacement that reads all registrations and reminds all VMs, of which most do not
// follow the group and never confirm.
func TestAReplacementAmongManyGroupsListsNoVMs(t *testing.T) {
	coordinator, _, _ := newUser(100, 0)
	store := &callCounter{Store: metastore.NewMemory()}
	coordinator.Store = store
	r := &replacement{Lead: coordinator, group: groupNumber(7), row: rowNumber(7)}
	registered, err := r.registered(t.Context())
	if err != nil || store.calls.Load() != 0 || !slices.Equal(registered, []topology.VM{unlistedVM}) {
		t.Fatalf("%v, %v after %d calls", registered, err, store.calls.Load())
	}
}

// callCounter counts the calls to a store, and the transactions that change rows.
type callCounter struct {
	metastore.Store
	calls, transactions atomic.Int32
}

func (c *callCounter) List(ctx context.Context, table string, keys metastore.Range) (metastore.Rows, error) {
	c.calls.Add(1)
	return c.Store.List(ctx, table, keys)
}

func (c *callCounter) Put(ctx context.Context, table, key string, value []byte, expected metastore.Version) (metastore.Version, error) {
	c.calls.Add(1)
	c.transactions.Add(1)
	return c.Store.Put(ctx, table, key, value, expected)
}

func (c *callCounter) PutAll(ctx context.Context, table string, writes []metastore.Write) (metastore.Version, error) {
	c.calls.Add(1)
	c.transactions.Add(1)
	return c.Store.PutAll(ctx, table, writes)
}

// newWriter returns a VM that knows the stored rows of vm-1, with its store.
func newWriter(t *testing.T, groups int) (*Lead, *callCounter) {
	t.Helper()
	_, l, _ := newUser(groups, 0)
	store := &callCounter{Store: metastore.NewMemory()}
	l.Store, l.Log, l.Transport = store, slog.New(slog.DiscardHandler), silentTransport(t)
	for i := range groups {
		mustPut(t, store.Store, rowKey(groupNumber(i)), rowNumber(i), metastore.Version{})
	}
	if err := l.readDecisions(t.Context()); err != nil {
		t.Fatal(err)
	}
	return l, store
}

// Guards against a takeover that takes one transaction for each group: the store serves a few hundred a
// second, so that a thousand groups would be without a coordinator for seconds.
func TestATakeoverTakesFewTransactions(t *testing.T) {
	for _, groups := range fleetSizes {
		l, store := newWriter(t, groups)
		taken := l.takeOverGroups(t.Context(), "vm-1", l.groupsCoordinatedBy("vm-1"), "silent")
		if len(taken) != groups || int(store.transactions.Load()) != groups/metastore.MaxWrites {
			t.Errorf("%d groups: %d taken with %d transactions", groups, len(taken), store.transactions.Load())
		}
		if l.coordinator.Row(groupNumber(groups-1)) == nil {
			t.Errorf("%d groups: the last one is not coordinated", groups)
		}
	}
}

// Guards against a transaction that fails as a whole for good because another VM has changed one of its
// rows.
func TestAConflictLeavesTheOtherRowsOfATransaction(t *testing.T) {
	l, store := newWriter(t, 70)
	other := rowNumber(3).TakenBy("vm-9", 1, "vm-9", nil)
	mustPut(t, store.Store, rowKey(other.Group), other, l.stored[other.Group].version)
	taken := l.takeOverGroups(t.Context(), "vm-1", l.groupsCoordinatedBy("vm-1"), "silent")
	if len(taken) != 69 || l.Row(other.Group).Coordinator != "vm-9" {
		t.Fatalf("%d taken; %s has the group that it took first", len(taken), l.Row(other.Group).Coordinator)
	}
}

// Guards against the same when the answer to a transaction that took effect is lost.
func TestALostAnswerToATransactionIsResolved(t *testing.T) {
	l, store := newWriter(t, 70)
	l.Store = &answerLoser{callCounter: store}
	l.Clock = mono.System{}
	if taken := l.takeOverGroups(t.Context(), "vm-1", l.groupsCoordinatedBy("vm-1"), "silent"); len(taken) != 70 {
		t.Fatalf("%d taken", len(taken))
	}
}

// answerLoser loses the answer to the first transaction.
type answerLoser struct {
	*callCounter
	once sync.Once
}

func (a *answerLoser) PutAll(ctx context.Context, table string, writes []metastore.Write) (metastore.Version, error) {
	version, err := a.callCounter.PutAll(ctx, table, writes)
	a.once.Do(func() { version, err = metastore.Version{}, context.DeadlineExceeded })
	return version, err
}

// refusingStore accepts a number of writes in each period, as a part of the store does.
type refusingStore struct {
	callCounter
	mu   sync.Mutex
	free int
}

func (s *refusingStore) Put(ctx context.Context, table, key string, value []byte, expected metastore.Version) (metastore.Version, error) {
	s.mu.Lock()
	accepted := s.free > 0
	s.free--
	s.mu.Unlock()
	if !accepted {
		s.calls.Add(1)
		return metastore.Version{}, metastore.ErrNotDone
	}
	return s.callCounter.Put(ctx, table, key, value, expected)
}

// Guards against VMs that start together and overload the store with attempts to register: a refused
// registration is not read again, and attempts become rarer.
func TestRefusedRegistrationsTakeFewCalls(t *testing.T) {
	const vms = 40
	store := &refusingStore{callCounter: callCounter{Store: metastore.NewMemory()}, free: vms / 4}
	ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
	defer cancel()
	var all sync.WaitGroup
	for i := range vms {
		all.Go(func() { _, _ = Register(ctx, store, vmNumber(i), slog.New(slog.DiscardHandler)) })
	}
	all.Wait()
	if calls := store.calls.Load(); calls > 6*vms {
		t.Fatalf("%d calls of %d VMs", calls, vms)
	}
	if _, err := store.List(t.Context(), Table, metastore.All); err != nil {
		t.Fatal(err)
	}
}

// Guards against rights that rest on rows from another VM, which the coordinator may have changed since.
func TestRowsFromAPeerGiveNoRight(t *testing.T) {
	l, store := newWriter(t, 3)
	rows, err := store.List(t.Context(), Table, metastore.All)
	if err != nil {
		t.Fatal(err)
	}
	fresh, _, _ := newUser(3, 0)
	fresh.holder = lease.NewHolder()
	fresh.Log, fresh.Store = l.Log, store
	fresh.applyListing(rows.Rows, directory.Timing{Version: rows.Version, FromPeer: true})
	if fresh.Row(groupNumber(2)) == nil {
		t.Fatal("the row is not known")
	}
	if _, ok := fresh.Right(groupNumber(2)); ok || fresh.registered.Number != 0 {
		t.Fatalf("a right, or a read that counts as one of a registered VM: %v", fresh.registered)
	}
}

// Guards against callers without rights for a second after all VMs have started again: a VM that had read the rows of the
// groups before the targets sent the others no rows, and none of them knew a coordinator.
func TestRowsAreSentToVMsThatStartBeforeTheTargetsAreKnown(t *testing.T) {
	l, store := newWriter(t, 3)
	read, err := store.List(t.Context(), Table, metastore.All)
	if err != nil {
		t.Fatal(err)
	}
	l.Directory = directory.New(l.self)
	changed := *l.holder.Row(groupNumber(1))
	changed.Version++
	l.holder.Adopt(&changed)
	versions := map[topology.GroupID]uint64{}
	for _, r := range l.Newest(directory.OwnRows, read.Rows) {
		if !strings.HasPrefix(r.Key, groupPrefix) {
			continue
		}
		var row lease.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			t.Fatal(err)
		}
		versions[row.Group] = row.Version
	}
	if len(versions) != 3 || versions[groupNumber(1)] != changed.Version {
		t.Fatalf("versions: %v, want three, that of %s %d", versions, groupNumber(1), changed.Version)
	}
}

// Guards against a coordinator that removes the registrations of VMs that have no reason to write to it.
func TestOnlyTheCoordinatorOfTheFirstGroupRemovesSilentVMs(t *testing.T) {
	for _, first := range []topology.VMID{"vm-1", "vm-9"} {
		coordinator, _, clock := newUser(100, 0)
		store := &callCounter{Store: metastore.NewMemory()}
		coordinator.Store, coordinator.Log = store, slog.New(slog.DiscardHandler)
		row := rowNumber(0)
		row.Version, row.Coordinator = 2, first
		coordinator.holder.Adopt(row)
		coordinator.Directory.SetVM(topology.VM{ID: "vm-5", Incarnation: 1})
		coordinator.prune(t.Context(), clock.Now())
		coordinator.prune(t.Context(), clock.Now().Add(pruneAfter+time.Second))
		time.Sleep(20 * time.Millisecond)
		if removes := store.calls.Load() > 0; removes != (first == "vm-1") {
			t.Errorf("first group of %s: removed by vm-1: %v", first, removes)
		}
	}
}

// Guards against a start of all VMs after which nobody takes the place of their former coordinator: VMs that got
// their rows from each other have not read the store, and nobody takes over before.
func TestAVMThatStartedFromAnotherReadsBeforeItTakesOver(t *testing.T) {
	for _, former := range []topology.VMID{"vm-1", "vm-2"} {
		_, l, clock := newUser(3, 0)
		l.Log = slog.New(slog.DiscardHandler)
		l.self.Incarnation = 2
		l.Directory.SetVMs([]topology.VM{{ID: "vm-1"}, {ID: "vm-2"}, {ID: "vm-3"}})
		for i := range 3 {
			row := rowNumber(i)
			row.Version, row.Coordinator = 2, former
			l.holder.Adopt(row)
		}
		l.checkCoordinator(former, clock.Now())
		clock.T = clock.T.Add(10 * time.Second)
		take, _, _ := l.checkCoordinator(former, clock.Now())
		if reads := l.needsReading(clock.Now()); take || !reads {
			t.Errorf("former coordinator %s: takes over: %v; reads the store: %v", former, take, reads)
		}
	}
}
