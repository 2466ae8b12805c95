package view

import (
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// IncarnationEnded reports whether the VM is dead or has restarted since the incarnation. Nobody
// will ask again for what the incarnation held.
func (v *View) IncarnationEnded(id topology.VMID, incarnation topology.Incarnation) bool {
	for _, s := range v.Statuses() {
		if s.VM.ID == id {
			return s.State == membership.Dead || s.VM.Incarnation > incarnation
		}
	}
	return false
}

// Bounds implements pooler.Directory.
func (v *View) Bounds() pooler.Bounds {
	conf := v.Config()
	if conf == nil {
		return pooler.Bounds{
			TransactionIdle: config.DefaultIdleInTransactionTimeout.Std(),
			ResultBytes:     config.DefaultResultBytes,
		}
	}
	limits := conf.Limits()
	return pooler.Bounds{
		TransactionIdle: limits.IdleInTransactionTimeout.Std(),
		ResultBytes:     limits.ResultBytes,
	}
}
