package lead

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// storeAnswered records that the store answered a call sent at began.
func (l *Lead) storeAnswered(began mono.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeSeen = max(l.storeSeen, began)
	for _, g := range l.coordinator.Groups() {
		// The watch has returned every change up to its answer, so the known version of the row was
		// still current when the call was sent, unless it is of an earlier era.
		if row := l.coordinator.Row(g); !l.ofEarlierEra(row) {
			l.coordinator.Observe(row, began, l.Clock.Now())
		}
	}
}

// applyListing applies a complete listing and reports whether the set of VMs has changed. Changes of
// the remaining rows reach the other VMs by other means, see applyChange.
func (l *Lead) applyListing(rows []metastore.Row, at directory.Timing) bool {
	var vms []topology.VM
	listed := false
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, vmPrefix) {
			continue
		}
		var vm topology.VM
		if err := json.Unmarshal(r.Value, &vm); err != nil {
			l.Log.Error("event=row_malformed", "key", r.Key, "error", err)
			continue
		}
		vms = append(vms, vm)
		listed = listed || vm.ID == l.self.ID && vm.Incarnation <= l.self.Incarnation
	}
	if at.FromPeer {
		l.applyListingFromPeer(rows, vms)
		return false
	}
	news := l.Directory.SetVMs(vms)
	if !listed && !l.isLeaving() {
		go l.registerAgain(context.Background())
	}
	if listed {
		l.mu.Lock()
		// The registrations are listed after the row that records removals.
		anyVersion := metastore.Version{Era: at.Version.Era, Number: 1}
		l.registered = metastore.Later(l.registered, metastore.Later(lastRemoval(rows), anyVersion))
		l.mu.Unlock()
	}
	l.applyDecisions(metastore.Rows{Rows: rows, Version: at.Version}, at.Began, listed)
	return news
}

// applyListingFromPeer applies a listing that another VM sent. It may be older than this VM's
// registration, and is no source of rights: another VM may have changed the rows since.
func (l *Lead) applyListingFromPeer(rows []metastore.Row, vms []topology.VM) {
	if !slices.ContainsFunc(vms, func(vm topology.VM) bool { return vm.ID == l.self.ID }) {
		vms = append(vms, l.self)
	}
	l.Directory.SetVMs(vms)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastRead = l.Clock.Now()
	for _, r := range rows {
		if !strings.HasPrefix(r.Key, groupPrefix) {
			continue
		}
		var row lease.Row
		if err := json.Unmarshal(r.Value, &row); err != nil {
			l.Log.Error("event=row_malformed", "key", r.Key, "error", err)
			continue
		}
		l.adopt(&row, "peer")
	}
}

// Newest returns the rows of a feed with the groups' rows as this VM knows them: it reads them from
// the store only while it has to.
func (l *Lead) Newest(f directory.Feed, rows []metastore.Row) []metastore.Row {
	if f != directory.OwnRows {
		return rows
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := make([]metastore.Row, 0, len(rows))
	listed := map[topology.GroupID]bool{}
	for _, r := range rows {
		if group, ok := strings.CutPrefix(r.Key, groupPrefix); ok {
			// Groups without a known target are sent as read: a VM that has just started may have read
			// the rows before the targets.
			listed[topology.GroupID(group)] = true
			r = l.newestRow(topology.GroupID(group), r)
		}
		newest = append(newest, r)
	}
	for _, group := range l.groups() {
		if l.holder.Row(group) != nil && !listed[group] {
			newest = append(newest, l.newestRow(group, metastore.Row{Key: rowKey(group)}))
		}
	}
	return newest
}

// newestRow returns a group's row as this VM knows it, or the given one if it knows none.
func (l *Lead) newestRow(group topology.GroupID, read metastore.Row) metastore.Row {
	row := l.holder.Row(group)
	if row == nil {
		return read
	}
	raw, err := json.Marshal(row)
	if err != nil {
		return read
	}
	return metastore.Row{Key: read.Key, Value: raw}
}

// applyDecisions applies the duty and the groups' rows, as read with all decision rows. registered is
// set if this VM's registration existed then, which makes them a source of its rights.
func (l *Lead) applyDecisions(read metastore.Rows, began mono.Time, registered bool) {
	l.forgetLost(read)
	for _, r := range read.Rows {
		switch {
		case r.Key == dutyKey:
			l.applyDuty(r, began)
		case strings.HasPrefix(r.Key, groupPrefix):
			l.applyRow(r, began, registered)
		}
	}
}

// applyChange applies one changed row and reports whether to relay it. Only changes of VMs matter
// to all VMs: groups' rows are sent in notices and with promises, and a VM that needs the duty
// reads it.
func (l *Lead) applyChange(r metastore.Row, at directory.Timing) bool {
	id, ofVM := strings.CutPrefix(r.Key, vmPrefix)
	switch {
	case ofVM:
		l.applyVM(topology.VMID(id), r)
	case r.Deleted:
	case r.Key == dutyKey:
		l.applyDuty(r, at.Began)
	case strings.HasPrefix(r.Key, groupPrefix):
		l.applyRow(r, at.Began, false)
	}
	return ofVM
}

func (l *Lead) applyVM(id topology.VMID, r metastore.Row) {
	if r.Deleted {
		l.Directory.RemoveVM(id)
		if id == l.self.ID && !l.isLeaving() {
			go l.registerAgain(context.Background())
		}
		return
	}
	var vm topology.VM
	if err := json.Unmarshal(r.Value, &vm); err != nil {
		l.Log.Error("event=row_malformed", "key", r.Key, "error", err)
		return
	}
	l.Directory.SetVM(vm)
}

// applyRow applies a group's row. A read while this VM is registered is also a source of rights:
// without the registration the coordinator would not wait for this VM before a promotion.
func (l *Lead) applyRow(r metastore.Row, began mono.Time, reading bool) {
	var row lease.Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		l.Log.Error("event=row_malformed", "key", r.Key, "error", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Version.After(l.stored[row.Group].version) {
		l.stored[row.Group] = storedRow{version: r.Version, row: row.Version}
	}
	l.adopt(&row, "store")
	if row.Era() < r.Version.Era {
		l.coordinator.Supersede(&row) // The store may have lost a newer version.
		return
	}
	if reading {
		l.holder.RecordRead(row.Group, row.Version, began)
		l.wakeWaiters()
	}
	l.coordinator.Observe(&row, began, l.Clock.Now())
}

// adopt adopts a row if it is newer than the known one, whatever its source.
func (l *Lead) adopt(row *lease.Row, from string) {
	former := l.holder.Row(row.Group)
	if !l.holder.Adopt(row) {
		return
	}
	// This VM now tells its successor that it has adopted the row, and the successor then takes it to have stopped.
	l.coordinator.Supersede(row)
	l.noteRemovedMembers(former, row)
	l.lastAdopted = l.Clock.Now()
	l.Directory.Relay().NoteCoordinator()
	if former == nil || former.Coordinator != row.Coordinator {
		// The coordinator is expected to send messages from now on. Judged by when it last
		// coordinated, it would at once count as silent at all VMs.
		l.coordinatorState[row.Coordinator] = coordinatorState{lastAnswer: l.Clock.Now()}
	}
	l.Log.Info("event=row_adopted", "group", row.Group, "version", row.Version, "term", row.Term, "primary", row.Primary,
		"coordinator", row.Coordinator, "incarnation", row.Incarnation, "open", row.Open(), "unsettled", row.Unsettled, "from", from)
	if x := l.renewals[row.Coordinator]; x != nil {
		x.sent = 0 // Request a promise of the coordinator at once.
	}
	l.wakeWaiters()
	taken := former == nil || former.Coordinator != row.Coordinator
	if taken && !l.followsAll() && row.Group == l.groups()[0] {
		l.noteCoordinatorChange(row.Coordinator, l.Clock.Now())
	}
	if from != ownChange && !l.reading && l.isUnreadHandover(row) {
		// The group was handed over to this VM, which only promises for rows that it has read
		// itself.
		l.reading = true
		go l.read(context.Background())
	}
}

// ownChange is the source of a row that this VM has written itself.
const ownChange = "own_change"
