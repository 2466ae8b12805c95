package entry

import (
	"context"
	"sync"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// primaryHop is an unanswered request to a primary.
type primaryHop struct {
	term   uint64
	cancel context.CancelFunc
}

// hops holds the unanswered requests to primaries by group. It is safe for
// concurrent use.
type hops struct {
	mu   sync.Mutex
	open map[topology.GroupID]map[*primaryHop]struct{}
}

// add registers a request to the primary of the term and returns the function that
// removes it. Term 0 marks a replica, whose requests are not registered.
func (h *hops) add(group topology.GroupID, term uint64, cancel context.CancelFunc) (remove func()) {
	if term == 0 {
		return func() {}
	}
	entry := &primaryHop{term: term, cancel: cancel}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == nil {
		h.open = map[topology.GroupID]map[*primaryHop]struct{}{}
	}
	if h.open[group] == nil {
		h.open[group] = map[*primaryHop]struct{}{}
	}
	h.open[group][entry] = struct{}{}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.open[group], entry)
	}
}

// cancelOlder cancels the group's requests of terms before term, whose primary has
// been replaced. The pooler of a replaced primary may be unreachable and must not
// acknowledge writes any more, so waiting longer would only delay the caller's
// answer.
func (h *hops) cancelOlder(group topology.GroupID, term uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for entry := range h.open[group] {
		if entry.term < term {
			entry.cancel()
		}
	}
}

// GroupsChanged informs the server of newer group rows. It cancels the requests to
// primaries that these rows replace.
func (s *Server) GroupsChanged(groups []*topology.Group) {
	for _, g := range groups {
		s.hops.cancelOlder(g.ID, g.Term)
	}
}
