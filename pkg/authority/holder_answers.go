package authority

import (
	"fmt"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// HandleRelease permanently gives up the right under the version and all earlier
// ones. Promises under these versions that arrive later have no effect.
func (h *Holder) HandleRelease(req ReleaseRightRequest, now mono.Time) ReleaseRightResponse {
	resp := ReleaseRightResponse{Group: req.Group, Version: req.Version, Released: true}
	if h.released[req.Group].version < req.Version {
		h.released[req.Group] = release{version: req.Version, at: now}
	}
	return resp
}

// ObserveCommit records the result of a CommitRow of this table. After Committed
// the caller passes the row to ObserveRow of Holder and Promoter, with Began set to
// when the commit was sent.
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

// ObserveWithdraw records the answer to a SendWithdraw of this table.
func (h *Holder) ObserveWithdraw(r WithdrawResponse, now mono.Time) {
	if g, ok := h.groups[r.Group]; ok {
		g.settlement.observe(&h.opts, r, now)
	}
}

func (h *Holder) changeID() string {
	h.changes++
	return fmt.Sprintf("holder/%s/%d/%d", h.self.ID, h.self.Incarnation, h.changes)
}
