package pooler

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// askEntryAfter is how long a transaction is idle before its entry is asked
// whether it is alive.
const askEntryAfter = time.Second

// sweepEntries ends the transactions whose entry is dead or was restarted. A killed
// entry sends no Release: its transactions would keep their locks and connections
// until the idle time-out, and block every request that waits for the same rows. A
// dead entry to which no VM sends anything goes undetected, so the entry of an idle
// transaction is asked.
func (p *Pooler) sweepEntries(tp *targetPool, now time.Time) {
	if p.o.Entries == nil {
		return
	}
	asked := map[string]bool{}
	for _, key := range tp.idleTransactions(now, 0) {
		if p.o.Entries.IncarnationEnded(topology.VMID(key.entry), topology.Incarnation(key.incarnation)) {
			p.o.Log.Info("event=transaction_freed", "target", tp.target.ID, "entry", key.entry)
			tp.abandon(key)
		}
	}
	for _, key := range tp.idleTransactions(now, askEntryAfter) {
		if !asked[key.entry] {
			asked[key.entry] = true
			p.o.Entries.Probe(context.Background(), topology.VMID(key.entry))
		}
	}
}
