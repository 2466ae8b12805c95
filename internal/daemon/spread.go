package daemon

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/entry"
	"github.com/buckthornshore/buckthornshore/internal/failover"
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// announceTimeout limits the announcement of a row to one relay.
const announceTimeout = time.Second

// publisher applies a row that this VM committed to the local store and announces
// it to the relays, which forward it at once instead of after their next poll.
type publisher func(platform.Row)

func newPublisher(rows *relay.Store, v *view.View, p *peers.Table) publisher {
	return func(row platform.Row) {
		rows.Apply([]platform.Row{row}, 0, time.Time{})
		msg := &peerpb.AnnounceRequest{Rows: relay.RowsTo([]platform.Row{row})}
		for _, vm := range v.Relays() {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
				defer cancel()
				_, _ = p.Get(vm).Announce(ctx, msg) // If it is lost, the relay reads the row at its next poll.
			}()
		}
	}
}

// rowSink passes new rows to the components that use them. The store takes the
// sink at construction, so connectComponents sets the other fields later.
type rowSink struct {
	view    *view.View
	store   *relay.Store
	driver  *failover.Driver
	updater *configUpdater
	entry   *entry.Server
	log     *slog.Logger

	listMu  sync.Mutex
	pending bool // VM rows arrived before the store had been read completely
}

func (s *rowSink) apply(rows []platform.Row, readStart time.Time) {
	groups, err := s.view.ApplyRows(rows)
	if err != nil {
		s.log.Error("event=bad_row", "error", err)
	}
	if slices.ContainsFunc(rows, func(r platform.Row) bool { return view.IsVM(r.Key) }) {
		s.applyVMs()
	}
	if s.driver != nil && len(groups) > 0 {
		s.driver.ObserveRows(groups, readStart)
	}
	if s.entry != nil {
		s.entry.GroupsChanged(groups)
	}
	if s.updater != nil {
		s.updater.rowsChanged()
	}
}

// applyVMs sets the view's list of VMs from the VM rows. It is postponed while the
// store has not been read completely: VMs whose rows are not there yet would count
// as gone. Calls are serialized, so that a concurrent call that read the rows
// earlier can't overwrite a newer list.
func (s *rowSink) applyVMs() {
	s.listMu.Lock()
	defer s.listMu.Unlock()
	s.pending = s.store == nil || !s.store.Loaded()
	if s.pending {
		return
	}
	vms, err := view.DecodeVMs(s.store.Rows(view.VMPrefix))
	if err != nil {
		s.log.Error("event=bad_row", "error", err)
	}
	s.view.SetList(vms)
}

// applyPostponedVMs sets the list of VMs if that was postponed.
func (s *rowSink) applyPostponedVMs() {
	s.listMu.Lock()
	pending := s.pending
	s.listMu.Unlock()
	if pending {
		s.applyVMs()
	}
}
