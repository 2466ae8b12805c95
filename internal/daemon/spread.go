package daemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/entry"
	"github.com/buckthornshore/buckthornshore/internal/failover"
	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/relay"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

const (
	// listPeriod of the platform's VM list, a hint only.
	listPeriod = 2 * time.Second
	// announceTimeout of a row sent ahead to the relays.
	announceTimeout = time.Second
)

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
	driver *failover.Driver
	keeper *configKeeper
	entry  *entry.Server
	log    *slog.Logger
}

func (s *rowSink) take(rows []platform.Row, began time.Time) {
	groups, err := s.view.ApplyRows(rows)
	if err != nil {
		s.log.Error("event=bad_row", "error", err)
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

// lister reads the platform's VM list.
type lister struct {
	view     *view.View
	platform platform.Service
	log      *slog.Logger
}

func newLister(v *view.View, p platform.Service, log *slog.Logger) *lister {
	return &lister{view: v, platform: p, log: log}
}

func (l *lister) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listPeriod)
	defer cancel()
	if !l.register(ctx) {
		return
	}
	vms, err := l.platform.List(ctx)
	if err != nil {
		l.log.Debug("event=platform_unreachable", "error", err)
		return
	}
	l.view.SetList(vms)
}

// register makes this VM known to the platform's list.
func (l *lister) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, listPeriod)
	defer cancel()
	if err := l.platform.Register(ctx, l.view.Self()); err != nil {
		l.log.Debug("event=platform_unreachable", "error", err)
		return false
	}
	return true
}
