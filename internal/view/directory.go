package view

import (
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Target implements pooler.Directory.
func (v *View) Target(id topology.TargetID) (pooler.TargetLimits, bool) {
	conf := v.Config()
	if conf == nil {
		return pooler.TargetLimits{}, false
	}
	t, ok := conf.Target(id)
	return pooler.TargetLimits{
		Target:      topology.Target{ID: t.ID, Group: t.Group, DataCentre: t.DataCentre, Address: t.Address},
		Slots:       t.Slots,
		Connections: t.Connections,
	}, ok
}

// Class implements pooler.Directory.
func (v *View) Class(service, class string) (pooler.ClassLimits, bool) {
	conf := v.Config()
	if conf == nil {
		return pooler.ClassLimits{}, false
	}
	c, ok := conf.Class(service, class)
	return pooler.ClassLimits{
		Write:           c.Kind == config.Write,
		Repeatable:      c.Repeatable || c.Kind == config.Read,
		WaitsForReplica: c.AckWaitsForReplica,
		Priority:        c.Priority.Rank(),
	}, ok
}
