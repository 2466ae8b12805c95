package entry

import (
	"context"
	"sync"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// hop is a request to a primary that has not been answered yet.
type hop struct {
	term   uint64
	cancel context.CancelFunc
}

// hops holds the requests under way to primaries, by group. Safe for concurrent use.
type hops struct {
	mu   sync.Mutex
	open map[topology.GroupID]map[*hop]struct{}
}

// add registers a request of a term; the caller removes it by the returned
// function.
func (h *hops) add(group topology.GroupID, term uint64, cancel context.CancelFunc) (remove func()) {
	if term == 0 {
		return func() {}
	}
	entry := &hop{term: term, cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == nil {
		h.open = map[topology.GroupID]map[*hop]struct{}{}
	}
	if h.open[group] == nil {
		h.open[group] = map[*hop]struct{}{}
	}
	h.open[group][entry] = struct{}{}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.open[group], entry)
	}
}

// cut ends the requests to a primary that the group has replaced. Its pooler may
// be cut off and never answer, and it may not acknowledge any more, so waiting
// longer would only keep the caller from its answer.
func (h *hops) cut(group topology.GroupID, term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for entry := range h.open[group] {
		if entry.term < term {
			entry.cancel()
		}
	}
}

// GroupsChanged tells the server of newer rows.
func (s *Server) GroupsChanged(groups []*topology.Group) {
	for _, g := range groups {
		s.hops.cut(g.ID, g.Term)
	}
}
