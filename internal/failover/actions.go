package failover

import (
	"context"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// perform starts one action. holder is false for actions of the promoter. Fences,
// promotions and follows of one target run in order; all others run concurrently.
func (d *Driver) perform(ctx context.Context, action authority.Action, holder bool) {
	switch a := action.(type) {
	case authority.SendHeartbeat:
		go d.heartbeat(ctx, a)
	case authority.SendWithdraw:
		go d.withdraw(ctx, a, holder)
	case authority.SendRelease:
		go d.release(ctx, a)
	case authority.CommitRow:
		go d.commit(ctx, a.Row, holder)
	case authority.ReadRow:
		go d.readRow(ctx, a.Group)
	case authority.FenceReplica:
		d.actionQueues.enqueue(a.Target, queuedAction{kind: "fence", do: func() { d.fence(ctx, a) }})
	case authority.PromoteReplica:
		d.actionQueues.enqueue(a.Target, queuedAction{kind: "promote", do: func() { d.promote(ctx, a) }})
	case authority.FollowPrimary:
		d.actionQueues.enqueue(a.Target, queuedAction{kind: "follow", do: func() { d.follow(ctx, a) }})
	case authority.ReadReplica:
		go d.readReplica(ctx, a)
	case authority.PromotionBlocked:
		d.o.Log.Warn("event=promotion_waits", "group", a.Group, "missing", a.Missing)
	case authority.Probe:
		go d.probe(ctx, a)
	case authority.AskWitness:
		go d.askWitness(ctx, a.Target)
	case authority.RequestSwitchover:
		go d.requestTakeOver(ctx, a)
	default:
		d.o.Log.Error("event=action_unknown", "action", action)
	}
}

// withLock runs f with the lock on the tables held, and passes it the current time.
func (d *Driver) withLock(f func(now mono.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(d.o.Clock.Now())
}

// peer returns the client of another VM, or false while its address is unknown.
func (d *Driver) peer(id topology.VMID) (*peers.Client, bool) {
	vm, ok := d.o.Directory.VM(id)
	if !ok {
		return nil, false
	}
	return d.o.Peers.Get(vm), true
}

func (d *Driver) heartbeat(ctx context.Context, a authority.SendHeartbeat) {
	if a.To == d.o.Directory.Self().ID {
		d.withLock(func(now mono.Time) {
			d.holder.ObserveHeartbeat(a.To, d.promoter.HandleHeartbeat(a.Request, now), now)
		})
		return
	}
	peer, ok := d.peer(a.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := peer.Heartbeat(ctx, heartbeatToProto(a.Request))
	if err != nil {
		return // No report is needed: the holder acts on the absence of responses.
	}
	d.withLock(func(now mono.Time) { d.holder.ObserveHeartbeat(a.To, heartbeatResponseFromProto(resp), now) })
}

func (d *Driver) withdraw(ctx context.Context, a authority.SendWithdraw, holder bool) {
	if a.To == d.o.Directory.Self().ID {
		d.withLock(func(now mono.Time) {
			d.observeWithdraw(a.To, d.promoter.HandleWithdraw(a.Request, now), holder, now)
		})
		return
	}
	peer, ok := d.peer(a.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := peer.Withdraw(ctx, &peerpb.WithdrawRequest{
		Vm:      string(d.o.Directory.Self().ID),
		Group:   string(a.Request.Group),
		Version: a.Request.Version,
		Row:     encodeRow(a.Request.Row),
	})
	if err != nil {
		return
	}
	answer := withdrawResponseFromProto(a.Request, resp)
	d.withLock(func(now mono.Time) { d.observeWithdraw(a.To, answer, holder, now) })
}

// observeWithdraw passes a response to the table that sent the request; the
// caller holds the lock.
func (d *Driver) observeWithdraw(from topology.VMID, answer authority.WithdrawResponse, holder bool, now mono.Time) {
	if holder {
		d.holder.ObserveWithdraw(answer, now)
		return
	}
	d.promoter.ObserveWithdraw(from, answer, now)
}

func (d *Driver) release(ctx context.Context, a authority.SendRelease) {
	if a.To == d.o.Directory.Self().ID {
		d.withLock(func(now mono.Time) { d.promoter.ObserveRelease(a.To, d.holder.HandleRelease(a.Request, now)) })
		return
	}
	peer, ok := d.peer(a.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := peer.ReleaseRight(ctx, &peerpb.ReleaseRightRequest{
		Vm:      string(d.o.Directory.Self().ID),
		Group:   string(a.Request.Group),
		Version: a.Request.Version,
	})
	if err != nil {
		return
	}
	answer := authority.ReleaseRightResponse{Group: a.Request.Group, Version: a.Request.Version, Released: resp.Released}
	d.withLock(func(mono.Time) { d.promoter.ObserveRelease(a.To, answer) })
}

func (d *Driver) askWitness(ctx context.Context, target topology.TargetID) {
	vm, ok := d.o.Directory.Witness(target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	resp, err := d.o.Peers.Get(vm).Witness(ctx, &peerpb.WitnessRequest{Target: string(target)})
	if err != nil || !resp.Known {
		return
	}
	d.withLock(func(now mono.Time) { d.detector.ObserveWitness(target, resp.Reachable, now) })
}

func (d *Driver) requestTakeOver(ctx context.Context, a authority.RequestSwitchover) {
	peer, ok := d.peer(a.To)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	_, err := peer.TakeOver(ctx, &peerpb.SwitchoverNotice{
		Vm:    string(d.o.Directory.Self().ID),
		Group: string(a.Group),
	})
	d.o.Log.Info("event=take_over_asked", "group", a.Group, "vm", a.To, "error", err)
}
