package lead

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/wait"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// registerRetry is the average pause after the first attempt to register. It doubles up to
// longestRegisterRetry: the store takes the registrations of all VMs one after the other, and refuses those
// for which it would take more than a second.
const (
	registerRetry        = 200 * time.Millisecond
	longestRegisterRetry = 1600 * time.Millisecond
)

// pruneAfter is how long a VM must be silent before its registration is removed. It is longer than
// most restarts take, and much longer than a right lasts.
const pruneAfter = 10 * time.Second

// Register registers this VM with its next incarnation and retries until it succeeds or ctx ends.
// Nothing on a VM outlives its process, so the store's clock numbers its incarnations.
func Register(ctx context.Context, store metastore.Store, vm topology.VM, log *slog.Logger) (topology.VM, error) {
	r := registration{store: store, vm: vm}
	for pause := registerRetry; ; pause = min(2*pause, longestRegisterRetry) {
		err := r.try(ctx)
		if err == nil {
			log.Info("event=registered", "vm", r.vm.ID, "incarnation", r.vm.Incarnation, "peer_address", r.vm.PeerAddress)
			return r.vm, nil
		}
		log.Warn("event=register_failed", "vm", vm.ID, "error", err, "outcome", "retrying")
		wait.For(ctx, pause/2+rand.N(pause)) //nolint:gosec // Spreads load only.
		if ctx.Err() != nil {
			return vm, ctx.Err()
		}
	}
}

// registration is the registration of a VM in progress.
type registration struct {
	store metastore.Store
	vm    topology.VM
	// value is what to write in place of the version expected; nil while the present row is not known.
	value    []byte
	expected metastore.Version
}

// try reads the present registration and writes the next one. After a refusal the same write is sent
// again.
func (r *registration) try(ctx context.Context) error {
	if r.value == nil {
		if done, err := r.prepare(ctx); done || err != nil {
			return err
		}
	}
	_, err := r.store.Put(ctx, Table, vmPrefix+string(r.vm.ID), r.value, r.expected)
	if err != nil && !errors.Is(err, metastore.ErrNotDone) {
		r.value = nil
	}
	return err
}

// prepare obtains the next incarnation. A registration of an earlier incarnation with the same
// content is left unchanged, since coordinators wait for the VM whichever incarnation is running; done
// is set then. Otherwise, when many VMs start together, each would wait for the writes of the others.
func (r *registration) prepare(ctx context.Context) (done bool, err error) {
	rows, err := r.store.List(ctx, Table, metastore.Key(vmPrefix+string(r.vm.ID)))
	if err != nil {
		return false, err
	}
	var present metastore.Row
	var earlier topology.VM
	if len(rows.Rows) > 0 {
		present = rows.Rows[0]
		if err := json.Unmarshal(present.Value, &earlier); err != nil {
			earlier = topology.VM{} // The registration is overwritten.
		}
	}
	now := topology.Incarnation(rows.Clock.Milliseconds()) //nolint:gosec // A monotonic clock is not negative.
	if present.Version.Number == 0 {
		// The store's version exceeds every incarnation that was derived from it.
		r.vm.Incarnation = max(now, topology.Incarnation(rows.Version.Next().Number))
	} else {
		r.vm.Incarnation = max(now, earlier.Incarnation+1)
	}
	renumbered := earlier
	renumbered.Incarnation = r.vm.Incarnation
	if renumbered == r.vm && r.vm.Incarnation == now {
		return true, nil // The clock gives the next incarnation a greater number, too.
	}
	r.value, err = json.Marshal(r.vm)
	r.expected = present.Version
	return false, err
}

// registerAgain restores this VM's registration after its removal. Until then, reads of the store
// give this VM no rights.
func (l *Lead) registerAgain(ctx context.Context) {
	raw, err := json.Marshal(l.self)
	if err == nil {
		_, err = l.Store.Put(ctx, Table, vmPrefix+string(l.self.ID), raw, metastore.Version{})
	}
	l.Log.Warn("event=registered_again", "error", err)
}

// errHeardAgain is returned if a VM that seemed silent has sent a message.
var errHeardAgain = errors.New("lead: the VM has sent a message")

// prune removes the registrations of VMs that have been silent for long: each of them makes a
// replacement of a primary wait until its rights expire. The coordinators do this, since all VMs
// send messages to them; where VMs do not follow all groups, only the coordinator of the first one, which
// all follow. A VM that was only cut off registers again.
func (l *Lead) prune(ctx context.Context, now mono.Time) {
	vms := l.Directory.VMs()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.coordinator.Groups()) == 0 || !l.followsAll() && l.allocatorVM() != l.self.ID {
		clear(l.listeningSince)
		return
	}
	for _, vm := range vms {
		since := l.listeningSince[vm.ID]
		switch {
		case vm.ID == l.self.ID:
		case since == 0:
			l.listeningSince[vm.ID] = now
		case now.Sub(max(since, l.lastMessage[vm.ID])) > pruneAfter:
			l.listeningSince[vm.ID] = now // One attempt per pruneAfter.
			go l.unregister(ctx, vm.ID, l.lastMessage[vm.ID])
		}
	}
}

// unregister removes the registration of a VM whose last message arrived at heard, unless another one has arrived
// once the registration was read: after a pause of this VM all others seem silent until it has handled the messages that
// waited.
func (l *Lead) unregister(ctx context.Context, id topology.VMID, heard mono.Time) {
	rows, err := l.Store.List(ctx, Table, metastore.Key(vmPrefix+string(id)))
	if err == nil && l.heardSince(id, heard) {
		err = errHeardAgain
	}
	if err != nil {
		l.Log.Info("event=prune_deferred", "vm", id, "error", err)
		return
	}
	for _, r := range rows.Rows {
		err = l.Store.Delete(ctx, Table, r.Key, r.Version, removalKey)
		l.Log.Info("event=vm_pruned", "vm", id, "error", err)
	}
}

// heardSince reports whether a message of a VM has arrived after the one that arrived at heard.
func (l *Lead) heardSince(id topology.VMID, heard mono.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastMessage[id] != heard
}
