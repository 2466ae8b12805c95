package authority

import (
	"fmt"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// HandleRelease gives up the right under the version and all earlier ones, for
// good. A promise still on its way counts for nothing any more.
func (h *Holder) HandleRelease(req ReleaseRightRequest, now mono.Time) ReleaseRightResponse {
	resp := ReleaseRightResponse{Group: req.Group, Version: req.Version, Released: true}
	if h.released[req.Group].version < req.Version {
		h.released[req.Group] = release{version: req.Version, at: now}
	}
	return resp
}

// ObserveCommit takes the result of a CommitRow of this table. After Committed
// the caller gives the row to ObserveRow of both tables, Began being when the
// commit was sent.
func (h *Holder) ObserveCommit(r CommitResult, now mono.Time) {
	g, ok := h.groups[r.Group]
	if !ok {
		return
	}
	if g.proposal != nil && g.proposal.observe(r) {
		g.proposal = nil
	}
	if r.Row != nil {
		h.adopt(g, r.Row, now)
	}
}

// ObserveWithdraw takes the answer to a SendWithdraw of this table.
func (h *Holder) ObserveWithdraw(r WithdrawResponse, now mono.Time) {
	if g, ok := h.groups[r.Group]; ok {
		g.settlement.observe(&h.opts, r, now)
	}
}

func (h *Holder) changeID() string {
	h.changes++
	return fmt.Sprintf("holder/%s/%d/%d", h.self.ID, h.self.Incarnation, h.changes)
}
