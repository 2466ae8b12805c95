package lead

import (
	"bytes"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// serveOnLoopback lets a VM exchange messages with others over a socket, and returns its address.
func serveOnLoopback(t *testing.T, l *Lead) string {
	t.Helper()
	l.Log = slog.New(slog.DiscardHandler)
	l.Transport = silentTransport(t)
	go l.Transport.Serve(t.Context(), l.handle)
	return l.Transport.conn.LocalAddr().String()
}

// newPairOnLoopback is newPair with VMs that exchange their messages over sockets.
func newPairOnLoopback(t *testing.T, groups int) (coordinator, vm *Lead, clock *mono.Manual) {
	t.Helper()
	coordinator, vm, clock = newPair(groups)
	vm1, vm2 := serveOnLoopback(t, coordinator), serveOnLoopback(t, vm)
	for _, l := range []*Lead{coordinator, vm} {
		l.Directory.SetVM(topology.VM{ID: "vm-1", PeerAddress: vm1})
		l.Directory.SetVM(topology.VM{ID: "vm-2", PeerAddress: vm2})
	}
	vm.mu.Lock()
	defer vm.mu.Unlock()
	vm.updateFollowing()
	vm.renewalsTo("vm-1")
	return coordinator, vm, clock
}

// awaitAll waits until counted returns n, and returns the last count.
func awaitAll(n int, counted func() int) int {
	count := counted()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end) && count < n; time.Sleep(10 * time.Millisecond) {
		count = counted()
	}
	return count
}

// rightsOf returns a count of the groups for which a VM has a right.
func rightsOf(vm *Lead, groups int) func() int {
	return func() int {
		rights := 0
		for i := range groups {
			if _, ok := vm.Right(groupNumber(i)); ok {
				rights++
			}
		}
		return rights
	}
}

// allGroups is the number of groups of a system of 14,000 databases.
const allGroups = 4667

// Guards against a VM that gets no right any more, since the list of the groups that it follows at one coordinator is
// longer than a datagram: it is sent when the two know different rows, and was dropped each time.
func TestTheRenewalOfManyGroupsArrives(t *testing.T) {
	coordinator, vm, clock := newPairOnLoopback(t, allGroups)
	vm.mu.Lock()
	vm.renewInFull("vm-1", clock.Now())
	vm.mu.Unlock()
	rights := awaitAll(allGroups, rightsOf(vm, allGroups))
	coordinator.mu.Lock()
	defer coordinator.mu.Unlock()
	if subscribed := len(coordinator.subscribed["vm-2"]); rights < allGroups || subscribed < allGroups {
		t.Fatalf("rights for %d of %d groups, %d subscribed", rights, allGroups, subscribed)
	}
}

// failingHealth is the health of targets all of which fail.
type failingHealth struct{ fakeHealth }

func (failingHealth) Load(topology.TargetID) (target.Load, bool) {
	return target.Load{FailingFor: time.Second}, true
}

// Guards against a VM that loses all rights, and whose reports are lost, while it fails to reach many primaries: its
// renewal lists them.
func TestTheReportOfManyFailingGroupsArrives(t *testing.T) {
	coordinator, vm, clock := newPairOnLoopback(t, allGroups)
	vm.Health = failingHealth{}
	vm.mu.Lock()
	vm.renew(clock.Now())
	vm.mu.Unlock()
	rights := awaitAll(allGroups, rightsOf(vm, allGroups))
	reported := awaitAll(allGroups, func() int {
		coordinator.mu.Lock()
		defer coordinator.mu.Unlock()
		failing := 0
		for _, r := range coordinator.reports {
			if r["vm-2"].failing > 0 {
				failing++
			}
		}
		return failing
	})
	if rights < allGroups || reported < allGroups {
		t.Fatalf("rights for %d of %d groups, %d reported as failing", rights, allGroups, reported)
	}
}

// Guards against parts of a renewal, or answers to them, that are longer than a datagram, whatever the names' lengths.
func TestThePartsOfARenewalFitIntoMessages(t *testing.T) {
	for _, nameLength := range []int{1, 20, 200} {
		var groups []groupEntry
		for i := range allGroups {
			name := fmt.Sprintf("%0*d", nameLength, i)
			groups = append(groups, groupEntry{
				Group: topology.GroupID(name), Version: 1 << 62, Target: topology.TargetID(name), Reached: true, FailingMS: 1 << 40, Saturated: true,
			})
		}
		coordinator, _, clock := newPair(rowsPerMessage)
		var joined []groupEntry
		for _, part := range inMessages(groups) {
			request := &message{Kind: renewal, From: "vm-2", Groups: slices.Clone(part)}
			for i := range rowsPerMessage { // The receiver has newer rows of some.
				row := longRow(i)
				coordinator.holder.Adopt(row)
				request.Groups = append(request.Groups, groupEntry{Group: row.Group})
			}
			fits(t, request)
			answer := &message{Kind: promise, From: "vm-1"}
			coordinator.promiseInFull(request, answer, clock.Now())
			fits(t, answer)
			joined = append(joined, part...)
		}
		if !slices.Equal(joined, groups) {
			t.Errorf("%d of %d groups in all parts", len(joined), len(groups))
		}
	}
	if parts := inMessages(nil); len(parts) > 0 {
		t.Errorf("%d parts of no groups", len(parts))
	}
}

// Guards against a message that is cut off on its way and counts as a whole one, and against one that is dropped without
// a trace since it is longer than a datagram.
func TestAMessageThatIsTooLongIsReported(t *testing.T) {
	var log bytes.Buffer
	handled := make(chan *message, 10)
	sender, receiver := silentTransport(t), silentTransport(t)
	sender.log = slog.New(slog.NewTextHandler(&log, nil))
	go receiver.Serve(t.Context(), func(_ string, m *message) { handled <- m })
	address := receiver.conn.LocalAddr().String()
	withSize := func(size int) *message {
		m := &message{Kind: notice, From: "vm-1"}
		empty, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		const stringHeader = 2 // bytes more than that of a short string
		m.From += topology.VMID(strings.Repeat("x", size-len(empty)-stringHeader))
		return m
	}
	for _, size := range []int{maxDatagramBytes, maxDatagramBytes + 1, 70_000, 1000} {
		sender.Send(withSize(size), address)
	}
	for _, size := range []int{maxDatagramBytes, 1000} {
		select {
		case m := <-handled:
			if raw, _ := encode(m); len(raw) != size {
				t.Errorf("a message of %d bytes was handled, want %d", len(raw), size)
			}
		case <-time.After(3 * time.Second):
			t.Fatalf("no message of %d bytes", size)
		}
	}
	if n := strings.Count(log.String(), "event=message_too_large"); n != 2 {
		t.Errorf("%d messages reported as too large:\n%s", n, log.String())
	}
	raw, err := encode(withSize(500))
	if err != nil {
		t.Fatal(err)
	}
	for n := range raw {
		if m, err := decode(raw[:n]); err == nil {
			t.Errorf("%d of %d bytes are decoded as %+v", n, len(raw), m)
		}
	}
}
