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

// announceTimeout of a row sent ahead to the relays.
const announceTimeout = time.Second

// publisher makes a row that this VM committed known to it and to the relays,
// which hand it on at once instead of after their next poll.
type publisher func(platform.Row)

func newPublisher(rows *relay.Store, v *view.View, p *peers.Table) publisher {
	return func(row platform.Row) {
		rows.Apply([]platform.Row{row}, 0, time.Time{})
		msg := &peerpb.AnnounceRequest{Rows: relay.RowsTo([]platform.Row{row})}
		for _, vm := range v.Relays() {
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
				defer cancel()
				_, _ = p.Get(vm).Announce(ctx, msg) // A lost one costs a poll period.
			}()
		}
	}
}

// rowSink passes new rows to all that use them. It is set up after the store,
// which it serves.
type rowSink struct {
	view   *view.View
	store  *relay.Store
	driver *failover.Driver
	keeper *configKeeper
	entry  *entry.Server
	log    *slog.Logger

	list    sync.Mutex
	pending bool // rows of VMs came before the store was known whole
}

func (s *rowSink) take(rows []platform.Row, began time.Time) {
	groups, err := s.view.ApplyRows(rows)
	if err != nil {
		s.log.Error("event=bad_row", "error", err)
	}
	if slices.ContainsFunc(rows, func(r platform.Row) bool { return view.IsVM(r.Key) }) {
		s.takeVMs()
	}
	if s.driver != nil && len(groups) > 0 {
		s.driver.ObserveRows(groups, began)
	}
	if s.entry != nil {
		s.entry.GroupsChanged(groups)
	}
	if s.keeper != nil {
		s.keeper.changed()
	}
}

// takeVMs hands the VMs' rows on as the list. A store that has not been read
// whole yet holds a part of them, and the others would count as gone; then the
// list is taken later. One call at a time: of two, the one that read the rows
// first must not set its older list last.
func (s *rowSink) takeVMs() {
	s.list.Lock()
	defer s.list.Unlock()
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

// retakeVMs takes a list that was put off.
func (s *rowSink) retakeVMs() {
	s.list.Lock()
	pending := s.pending
	s.list.Unlock()
	if pending {
		s.takeVMs()
	}
}
