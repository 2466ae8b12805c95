package lead

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// cutOffAfter is how long this VM must be without any right before it counts as cut off. A change
// of the coordinator takes some milliseconds, and reads of the store compensate for a failed one.
const cutOffAfter = 200 * time.Millisecond

// inTouchMargin is the remaining lifetime that at least one right must have, or this VM counts as out
// of touch. With less, two renewals and a read of the store have gone unanswered.
const inTouchMargin = 300 * time.Millisecond

// updateCutOff checks whether this VM is out of touch or cut off: it knows open rows, but neither
// their coordinators nor the store renew any right. A closed row means that its primary is being
// replaced, and the VM waits for that.
func (l *Lead) updateCutOff(now mono.Time) {
	open, held, inTouch := 0, 0, 0
	for _, group := range l.followed() {
		row := l.holder.Row(group)
		if row == nil || !row.Open() {
			continue
		}
		open++
		until := l.holder.Until(group)
		if now.Before(until) {
			held++
		}
		if now.Add(inTouchMargin).Before(until) {
			inTouch++
		}
	}
	l.outOfTouch = open > 0 && inTouch == 0
	if open > 0 && held == 0 {
		l.connectedSince = now
	}
	if l.isStarting() {
		l.outOfTouch = false // It waits for its first promise or reading, as long as neither has failed.
	}
	if open == 0 || held > 0 || l.isStarting() {
		if l.isCutOff(now) {
			l.Log.Info("event=cut_off_ended", "lasted", now.Sub(l.cutOffSince))
		}
		l.cutOffSince, l.cutOffLogged = 0, false
		return
	}
	if l.cutOffSince == 0 {
		l.cutOffSince = now
	}
	if l.isCutOff(now) && !l.cutOffLogged {
		l.cutOffLogged = true
		l.Log.Warn("event=cut_off", "groups", open, "store_seen", now.Sub(l.storeSeen))
		l.wakeWaiters() // Callers that wait for a right are refused now.
	}
}

func (l *Lead) isCutOff(now mono.Time) bool {
	return l.cutOffSince != 0 && now.Sub(l.cutOffSince) >= cutOffAfter
}

// OutOfTouch reports whether no right has been renewed for longer than any change of a coordinator
// takes. It differs from CutOff in that rights may still be valid: a VM that is out of touch reports
// itself as not ready but still serves requests, and once it has held no right for cutOffAfter it is
// cut off as well and refuses them. The load balancer takes two seconds to react, and without the
// earlier signal callers kept arriving at a data centre that was cut off for that much longer.
func (l *Lead) OutOfTouch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outOfTouch
}

// CutOff reports whether this VM can neither acknowledge writes nor prove the age of reads, with no
// known end, as it has held no right for cutOffAfter. Other VMs serve its callers better, so it
// refuses them at once. It is also out of touch, and so reports itself as not ready to the load
// balancer.
func (l *Lead) CutOff() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isCutOff(l.Clock.Now())
}
