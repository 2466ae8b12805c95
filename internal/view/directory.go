package view

import (
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/admission"
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
		Target:      topology.Target{ID: t.ID, Group: t.Group, DataCentre: t.DataCentre, Address: t.Address, Leaving: t.Leaving},
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
		Priority:        admission.Priority(c.Priority.Rank()),
	}, ok
}

// queuePerTarget is the maximum number of requests that wait for one target.
const queuePerTarget = 4000

// Admission implements pooler.Directory.
func (v *View) Admission(id topology.TargetID) admission.Limits {
	conf := v.Config()
	t, ok := conf.Target(id)
	if !ok {
		return admission.Limits{Slots: 1}
	}
	limits := admission.Limits{
		Slots:        t.Slots,
		Queue:        queuePerTarget,
		ClassQueue:   config.DefaultQueueLimit,
		MemberQueue:  queuePerTarget,
		Classes:      map[string]int{},
		Transactions: t.Connections - t.Slots,
		Weights:      map[string]float64{},
	}
	g, _ := conf.Group(t.Group)
	for _, c := range conf.Classes(g.Service) {
		limits.Classes[c.Name] = c.QueueLimit
	}
	if service, ok := conf.Service(g.Service); ok {
		if m, ok := conf.Member(service.Member); ok {
			limits.Weights[m.Name] = float64(m.Weight)
		}
	}
	return limits
}
