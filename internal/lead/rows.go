package lead

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// storeAnswered notes that the store answered a call sent at began.
func (l *Lead) storeAnswered(began mono.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeSeen = max(l.storeSeen, began)
	for _, g := range l.coordinator.Groups() {
		// The watch has shown every change up to its answer, so what is known of
		// the row was still so when the call was sent.
		l.coordinator.Observe(l.coordinator.Row(g), began, l.Clock.Now())
	}
}

// takeAll takes a whole listing over, and reports whether VMs have changed by it: of the other rows the
// VMs learn otherwise.
func (l *Lead) takeAll(rows []metastore.Row, at directory.Timing) bool {
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
	news := l.Directory.SetVMs(vms)
	if !listed && !l.isLeaving() {
		go l.registerAgain(context.Background())
	}
	if listed {
		l.mu.Lock()
		// The registrations are listed after the row that shows removals.
		l.registered = max(l.registered, lastRemoval(rows), 1)
		l.mu.Unlock()
	}
	l.takeDecisions(rows, at.Began, listed)
	return news
}

// takeDecisions takes the duty and the groups' rows over. registered: this VM's registration was
// there when they were read, so that they are a source of its rights.
func (l *Lead) takeDecisions(rows []metastore.Row, began mono.Time, registered bool) {
	for _, r := range rows {
		switch {
		case r.Key == dutyKey:
			l.takeDuty(r, began)
		case strings.HasPrefix(r.Key, groupPrefix):
			l.takeRow(r, began, registered)
		}
	}
}

// takeChange takes one changed row over. Those of VMs matter to all VMs: groups' rows are
// told by notices and with promises, and the duty is read by whoever needs it.
func (l *Lead) takeChange(r metastore.Row, at directory.Timing) bool {
	id, ofVM := strings.CutPrefix(r.Key, vmPrefix)
	switch {
	case ofVM:
		l.takeVM(topology.VMID(id), r)
	case r.Deleted:
	case r.Key == dutyKey:
		l.takeDuty(r, at.Began)
	case strings.HasPrefix(r.Key, groupPrefix):
		l.takeRow(r, at.Began, false)
	}
	return ofVM
}

func (l *Lead) takeVM(id topology.VMID, r metastore.Row) {
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

// takeRow takes a group's row over. A reading while this VM is registered also is a source of the
// right: without the registration the coordinator would not wait for this VM before a promotion.
func (l *Lead) takeRow(r metastore.Row, began mono.Time, reading bool) {
	var row lease.Row
	if err := json.Unmarshal(r.Value, &row); err != nil {
		l.Log.Error("event=row_malformed", "key", r.Key, "error", err)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Version > l.versions[row.Group] {
		l.versions[row.Group] = r.Version
	}
	l.adopt(&row, "store")
	if reading {
		l.holder.Read(row.Group, row.Version, began)
		l.tell()
	}
	l.coordinator.Observe(&row, began, l.Clock.Now())
}

// adopt takes a newer row over, whoever told it.
func (l *Lead) adopt(row *lease.Row, from string) {
	former := l.holder.Row(row.Group)
	if !l.holder.Adopt(row) {
		return
	}
	l.adopted = l.Clock.Now()
	l.Directory.Relay().NoteCoordinator()
	if former == nil || former.Coordinator != row.Coordinator {
		// It is listened for from now on: judged by when it last coordinated, it
		// would be taken for silent at once, by all VMs.
		l.answers[row.Coordinator] = answers{last: l.Clock.Now()}
	}
	l.Log.Info("event=row_adopted", "group", row.Group, "version", row.Version, "term", row.Term, "primary", row.Primary,
		"coordinator", row.Coordinator, "incarnation", row.Incarnation, "open", row.Open(), "from", from)
	if x := l.renewals[row.Coordinator]; x != nil {
		x.sent = 0 // Ask the coordinator at once.
	}
	l.tell()
	if from != ownChange && !l.reading && l.handedOverUnread() {
		// It was handed over to this VM, which promises only what it has read itself.
		l.reading = true
		go l.read(context.Background())
	}
}

// ownChange is where a row comes from that this VM has written itself.
const ownChange = "own_change"
