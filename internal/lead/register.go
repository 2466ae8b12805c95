package lead

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// registerRetry between tries to register at a start.
const registerRetry = 200 * time.Millisecond

// pruneAfter is how long a VM must be silent before its registration is removed. It
// is longer than any restart, and much longer than a right.
const pruneAfter = 40 * time.Second

// Register writes this VM's registration with the next incarnation, until it succeeds
// or ctx ends: nothing on a VM outlives its process, so the store counts the starts.
func Register(ctx context.Context, store metastore.Store, vm topology.VM, log *slog.Logger) (topology.VM, error) {
	for {
		registered, err := register(ctx, store, vm)
		if err == nil {
			log.Info("event=registered", "vm", registered.ID, "incarnation", registered.Incarnation, "peer_address", registered.PeerAddress)
			return registered, nil
		}
		log.Warn("event=register_failed", "vm", vm.ID, "error", err, "outcome", "tried_again")
		pauseFor(ctx, registerRetry)
		if ctx.Err() != nil {
			return vm, ctx.Err()
		}
	}
}

func register(ctx context.Context, store metastore.Store, vm topology.VM) (topology.VM, error) {
	rows, err := store.List(ctx, Table)
	if err != nil {
		return vm, err
	}
	key := vmPrefix + string(vm.ID)
	var present metastore.Row
	for _, r := range rows.Rows {
		if r.Key == key {
			present = r
		}
	}
	// The store's version only rises, so that no two starts of a VM get the same
	// number, even if a registration was removed between them.
	vm.Incarnation = topology.Incarnation(rows.Version + 1)
	raw, err := json.Marshal(vm)
	if err != nil {
		return vm, err
	}
	_, err = store.Put(ctx, Table, key, raw, present.Version)
	return vm, err
}

// prune removes registrations of VMs that were silent for long: each would make a
// replacement of a primary wait for its rights to lapse. The first VM in order does
// it, and only for VMs that this one has heard since it started.
func (l *Lead) prune(ctx context.Context, now mono.Time) {
	vms := l.Directory.VMs()
	if len(vms) == 0 || vms[0].ID != l.self.ID {
		return
	}
	l.mu.Lock()
	var gone []topology.VMID
	for _, vm := range vms {
		if heard := l.heard[vm.ID]; vm.ID != l.self.ID && heard != 0 && now.Sub(heard) > pruneAfter {
			gone = append(gone, vm.ID)
			l.heard[vm.ID] = now // Tried once a period.
		}
	}
	l.mu.Unlock()
	for _, id := range gone {
		go l.unregister(ctx, id)
	}
}

func (l *Lead) unregister(ctx context.Context, id topology.VMID) {
	rows, err := l.Store.List(ctx, Table)
	if err != nil {
		l.Log.Info("event=prune_put_off", "vm", id, "error", err)
		return
	}
	for _, r := range rows.Rows {
		if r.Key == vmPrefix+string(id) {
			err = l.Store.Delete(ctx, Table, r.Key, r.Version)
			l.Log.Info("event=vm_pruned", "vm", id, "error", err)
		}
	}
}
