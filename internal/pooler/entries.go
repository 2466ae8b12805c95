package pooler

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// askEntryAfter is how long a transaction sits idle before its entry is asked
// whether it lives.
const askEntryAfter = time.Second

// sweepEntries frees the transactions whose entry has gone. A killed entry sends
// no Release: its locks and connections would stay taken until the idle time-out,
// and those who wait for the same rows with them. An idle entry that nobody
// writes to gives no evidence of its death, so it is asked.
func (p *Pooler) sweepEntries(tp *targetPool, now time.Time) {
	if p.o.Entries == nil {
		return
	}
	asked := map[string]bool{}
	for _, key := range tp.idleTransactions(now, 0) {
		if p.o.Entries.Gone(topology.VMID(key.entry), topology.Incarnation(key.incarnation)) {
			p.o.Log.Info("event=transaction_freed", "target", tp.target.ID, "entry", key.entry)
			tp.abandon(key)
		}
	}
	for _, key := range tp.idleTransactions(now, askEntryAfter) {
		if !asked[key.entry] {
			asked[key.entry] = true
			p.o.Entries.Ask(context.Background(), topology.VMID(key.entry))
		}
	}
}
