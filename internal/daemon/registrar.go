package daemon

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// registerPeriod is how often this VM's row is checked in memory. The row is
	// written only at startup, when the VM leaves, and after the row was lost.
	registerPeriod = time.Second
	// registerTimeout limits one registration, and one prune of rows.
	registerTimeout = 2 * time.Second
	// prunePeriod is how often the rows of VMs that are gone are looked for. One VM
	// per data centre reads the platform's list for this.
	prunePeriod = time.Minute
)

// registrar maintains the VM rows. Every daemon writes its own row, and one daemon
// per data centre deletes the rows of VMs that the platform no longer lists. VM
// rows are distributed like all other rows, so that daemons need not poll the
// platform's list.
type registrar struct {
	view     *view.View
	rows     *relay.Store
	platform platform.Service
	publish  publisher
	sink     *rowSink
	log      *slog.Logger
}

func newRegistrar(v *view.View, rows *relay.Store, p platform.Service, pub publisher, sink *rowSink, log *slog.Logger) *registrar {
	return &registrar{view: v, rows: rows, platform: p, publish: pub, sink: sink, log: log}
}

// tick writes this VM's row if the stored one differs, and applies a postponed
// list of VMs.
func (r *registrar) tick(ctx context.Context) {
	r.register(ctx)
	r.sink.applyPostponedVMs()
}

// register writes this VM's row if the stored one differs, and reports whether the
// stored row is up to date.
func (r *registrar) register(ctx context.Context) bool {
	self := r.view.Self()
	stored, ok := r.ownRow(self.ID)
	if ok && stored.Incarnation > self.Incarnation {
		r.log.Error("event=vm_replaced", "incarnation", stored.Incarnation)
		return true // A newer process runs under this VM's name and owns the row.
	}
	if ok && stored == self {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if err := r.write(ctx, self); err != nil {
		r.log.Warn("event=register_failed", "error", err)
		return false
	}
	r.log.Info("event=registered", "incarnation", self.Incarnation, "leaving", self.Leaving)
	return true
}

func (r *registrar) ownRow(id topology.VMID) (topology.VM, bool) {
	vms, _ := view.DecodeVMs(r.rows.Rows(view.VMKey(id))) // An unreadable row is overwritten.
	for _, vm := range vms {
		if vm.ID == id {
			return vm, true
		}
	}
	return topology.VM{}, false
}

// write stores the row unconditionally: no other daemon writes the row of a
// running VM.
func (r *registrar) write(ctx context.Context, self topology.VM) error {
	if err := r.platform.Register(ctx, self); err != nil {
		return err
	}
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	key := view.VMKey(self.ID)
	out, err := r.platform.Commit(ctx, platform.Txn{Writes: []platform.Write{{Key: key, Value: value}}})
	if err != nil {
		return err
	}
	r.readOthers(ctx)
	r.publish(platform.Row{Key: key, Value: value, Revision: out.Revision})
	return nil
}

// readOthers reads the VM rows after this VM has written its own. Without it, VMs
// that start together may each read the rows before the others have written
// theirs. Until the next poll each then regards itself as the only VM, pools all
// targets and lists only itself in the rows of new groups. Of two such VMs, the one
// that writes later finds the other's row here and announces itself to it.
func (r *registrar) readOthers(ctx context.Context) {
	start := time.Now()
	rows, _, err := r.platform.Scan(ctx, view.VMPrefix, 0)
	if err != nil {
		r.log.Debug("event=platform_unreachable", "error", err)
		return
	}
	r.rows.NoteReached(start)
	r.rows.Apply(rows, 0, start)
}

// prune deletes the rows of VMs of this data centre that are missing from the
// platform's list and are dead or leaving. Neither condition suffices alone,
// because the list lags.
func (r *registrar) prune(ctx context.Context) {
	self := r.view.Self()
	if !r.view.FirstRelay() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	vms, err := r.platform.List(ctx)
	if err != nil {
		r.log.Debug("event=platform_unreachable", "error", err)
		return
	}
	listed := map[topology.VMID]bool{}
	for _, vm := range vms {
		listed[vm.ID] = true
	}
	for _, s := range r.view.Statuses() {
		gone := s.State == membership.Dead || s.State == membership.Leaving
		if s.VM.DataCentre == self.DataCentre && gone && !listed[s.VM.ID] {
			r.drop(ctx, s.VM.ID)
		}
	}
}

// drop deletes a VM's row only if its revision is unchanged: a VM that has started
// again in the meantime has rewritten its row.
func (r *registrar) drop(ctx context.Context, id topology.VMID) {
	key := view.VMKey(id)
	for _, row := range r.rows.Rows(key) {
		if row.Key != key || row.Deleted {
			continue
		}
		out, err := r.platform.Commit(ctx, platform.Txn{
			Conditions: []platform.Condition{{Key: key, Revision: row.Revision}},
			Writes:     []platform.Write{{Key: key, Delete: true}},
		})
		r.log.Info("event=vm_dropped", "id", id, "committed", out.Committed, "error", err)
	}
}
