package config

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// View is a document with one preset applied, indexed by name. It is
// immutable, so it may be shared between goroutines. Callers must not modify the
// slices that it returns.
type View struct {
	preset      string
	limits      Limits
	retryBudget RetryBudget

	dataCentres map[topology.DataCentre]DataCentre
	members     map[string]Member
	services    map[string]Service
	classes     map[classKey]Class
	groups      map[topology.GroupID]Group
	targets     map[topology.TargetID]PlacedTarget

	groupsOf    map[string][]topology.GroupID
	targetsIn   map[topology.DataCentre][]topology.TargetID
	shardHashes map[string]*rendezvous.Rendezvous
}

type classKey struct{ service, class string }

// PlacedTarget is a target with the group that it belongs to.
type PlacedTarget struct {
	Target
	Group topology.GroupID
}

// Effective applies a preset to a valid document. It returns UnknownPreset when
// the document lacks the preset.
func Effective(doc *Document, preset string) (*View, error) {
	presetIndex := slices.IndexFunc(doc.Presets, func(p Preset) bool { return p.Name == preset })
	if presetIndex < 0 {
		return nil, result.New(result.UnknownPreset, "%s", preset)
	}
	v := &View{
		preset:      preset,
		limits:      doc.Limits,
		retryBudget: doc.RetryBudget,
		dataCentres: make(map[topology.DataCentre]DataCentre, len(doc.DataCentres)),
		members:     make(map[string]Member, len(doc.Members)),
		services:    make(map[string]Service, len(doc.Services)),
		classes:     make(map[classKey]Class, len(doc.Classes)),
		groups:      make(map[topology.GroupID]Group, len(doc.Groups)),
		targets:     map[topology.TargetID]PlacedTarget{},
		groupsOf:    map[string][]topology.GroupID{},
		targetsIn:   map[topology.DataCentre][]topology.TargetID{},
		shardHashes: map[string]*rendezvous.Rendezvous{},
	}
	v.index(doc)
	v.apply(&doc.Presets[presetIndex])
	return v, nil
}

func (v *View) index(doc *Document) {
	for _, dc := range doc.DataCentres {
		v.dataCentres[dc.Name] = dc
	}
	for _, m := range doc.Members {
		v.members[m.Name] = m
	}
	for _, s := range doc.Services {
		v.services[s.Name] = s
	}
	for _, c := range doc.Classes {
		v.classes[classKey{c.Service, c.Name}] = c
	}
	for i := range doc.Groups {
		v.indexGroup(&doc.Groups[i])
	}
	for service, groups := range v.groupsOf {
		v.shardHashes[service] = rendezvous.New(groupNames(groups), xxhash.Sum64String)
	}
}

func (v *View) indexGroup(g *Group) {
	id := g.ID()
	indexed := *g
	indexed.Targets = slices.Clone(g.Targets)
	v.groups[id] = indexed
	v.groupsOf[g.Service] = append(v.groupsOf[g.Service], id)
	for _, t := range g.Targets {
		v.targets[t.ID] = PlacedTarget{Target: t, Group: id}
		v.targetsIn[t.DataCentre] = append(v.targetsIn[t.DataCentre], t.ID)
	}
}

func groupNames(ids []topology.GroupID) []string {
	return namesOf(ids, func(id topology.GroupID) string { return string(id) })
}

func (v *View) apply(p *Preset) {
	for _, o := range p.Classes {
		key := classKey{o.Service, o.Class}
		c := v.classes[key]
		override(&c.Staleness, o.Staleness)
		override(&c.Priority, o.Priority)
		override(&c.Deadline, o.Deadline)
		override(&c.QueueLimit, o.QueueLimit)
		v.classes[key] = c
	}
	for _, o := range p.Members {
		m := v.members[o.Member]
		override(&m.Weight, o.Weight)
		override(&m.MaxSessions, o.MaxSessions)
		override(&m.MaxRequests, o.MaxRequests)
		v.members[o.Member] = m
	}
	override(&v.retryBudget, p.RetryBudget)
}

func override[T any](value, with *T) {
	if with != nil {
		*value = *with
	}
}

// Preset returns the name of the applied preset.
func (v *View) Preset() string { return v.preset }

// Limits returns the limits of one daemon.
func (v *View) Limits() Limits { return v.limits }

// RetryBudget returns the retry budget, with the preset applied.
func (v *View) RetryBudget() RetryBudget { return v.retryBudget }

// DataCentre returns the data centre of that name, if there is one.
func (v *View) DataCentre(name topology.DataCentre) (DataCentre, bool) {
	dc, ok := v.dataCentres[name]
	return dc, ok
}

// Member returns the member of that name, if there is one, with the preset
// applied.
func (v *View) Member(name string) (Member, bool) {
	m, ok := v.members[name]
	return m, ok
}

// Service returns the service of that name, if there is one. Its Member field
// names the owner.
func (v *View) Service(name string) (Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Class returns a class of a service, if there is one, with the preset applied.
func (v *View) Class(service, class string) (Class, bool) {
	c, ok := v.classes[classKey{service, class}]
	return c, ok
}

// Group returns the group with that id, if there is one.
func (v *View) Group(id topology.GroupID) (Group, bool) {
	g, ok := v.groups[id]
	return g, ok
}

// Target returns the target with that id, if there is one.
func (v *View) Target(id topology.TargetID) (PlacedTarget, bool) {
	t, ok := v.targets[id]
	return t, ok
}

// AllGroups returns the ids of the groups of all services, sorted.
func (v *View) AllGroups() []topology.GroupID { return slices.Sorted(maps.Keys(v.groups)) }

// Groups returns the ids of a service's groups in the document's order.
func (v *View) Groups(service string) []topology.GroupID { return v.groupsOf[service] }

// TargetsIn returns the ids of a data centre's targets in the document's order.
func (v *View) TargetsIn(dc topology.DataCentre) []topology.TargetID { return v.targetsIn[dc] }

// GroupOf returns the group of a shard key. It uses rendezvous hashing: adding a
// group moves only the keys that the new group takes over. It returns false when
// the service has no group.
func (v *View) GroupOf(service, shardKey string) (topology.GroupID, bool) {
	hash, ok := v.shardHashes[service]
	if !ok {
		return "", false
	}
	return topology.GroupID(hash.Lookup(shardKey)), true
}
