package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// validName excludes the separators that join names: "/" in group ids, "," in the
// lists of targets that are sent to the databases.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

const nameRule = "1 to 63 letters, digits, '-', '_' or '.', a letter or digit first"

// minTargetsForReplicaAck is the minimum number of targets in a group whose writes
// wait for a replica.
const minTargetsForReplicaAck = 2

// validator makes the checks that need more than one value: unique names,
// references and conflicting limits.
type validator struct {
	*report
	doc *Document
}

func (v *validator) document() {
	v.dataCentres()
	v.members()
	v.services()
	v.groups()
	v.classes()
	v.presets()
}

// nameSet holds the names declared in one table and reports duplicates.
type nameSet struct {
	v          *validator
	recordKind string
	// firstPath maps each key to the path of its first declaration.
	firstPath map[string]string
	order     []string
}

func (v *validator) newNameSet(recordKind string) *nameSet {
	return &nameSet{v: v, recordKind: recordKind, firstPath: map[string]string{}}
}

// declare checks a declared name. The key, which may include the name of the
// parent record, must be unique.
func (n *nameSet) declare(path, name, key string) {
	if !n.v.given(path) {
		return
	}
	if !validName.MatchString(name) {
		n.v.add(path, fmt.Sprintf("%q is not a valid name", name), nameRule)
		return
	}
	if firstPath, ok := n.firstPath[key]; ok {
		n.v.add(path, fmt.Sprintf("%s %q is declared twice", n.recordKind, key), "one declaration; the first is "+firstPath)
		return
	}
	n.firstPath[key] = path
	n.order = append(n.order, key)
}

// checkReference reports a reference to a name that is not declared.
func (v *validator) checkReference(path, recordKind, name string, known []string) {
	if !v.given(path) {
		return
	}
	for _, k := range known {
		if k == name {
			return
		}
	}
	v.add(path, fmt.Sprintf("there is no %s %q", recordKind, name), orNone(listAndSuggest(name, known)))
}

func orNone(list string) string {
	if list == "" {
		return "none is declared"
	}
	return list
}

func (v *validator) dataCentres() {
	n := v.newNameSet("data centre")
	for i, dc := range v.doc.DataCentres {
		path := indexPath("data_centres", i)
		n.declare(joinPath(path, "name"), string(dc.Name), string(dc.Name))
		region := joinPath(path, "region")
		if v.given(region) && !validName.MatchString(dc.Region) {
			v.add(region, fmt.Sprintf("%q is not a valid name", dc.Region), nameRule)
		}
	}
}

func (v *validator) members() {
	n := v.newNameSet("member")
	for i, m := range v.doc.Members {
		n.declare(joinPath(indexPath("members", i), "name"), m.Name, m.Name)
	}
}

func (v *validator) services() {
	n := v.newNameSet("service")
	members := namesOf(v.doc.Members, func(m Member) string { return m.Name })
	withGroups := map[string]bool{}
	for _, g := range v.doc.Groups {
		withGroups[g.Service] = true
	}
	for i, s := range v.doc.Services {
		path := indexPath("services", i)
		n.declare(joinPath(path, "name"), s.Name, s.Name)
		v.checkReference(joinPath(path, "member"), "member", s.Member, members)
		if s.Name != "" && !withGroups[s.Name] {
			v.add(joinPath(path, "name"), fmt.Sprintf("service %q has no group", s.Name), "at least one entry in groups")
		}
	}
}

func (v *validator) groups() {
	n := v.newNameSet("group")
	services := v.serviceNames()
	centres := namesOf(v.doc.DataCentres, func(d DataCentre) string { return string(d.Name) })
	targets := v.newNameSet("target")
	addresses := map[string]string{}
	for i := range v.doc.Groups {
		g := &v.doc.Groups[i]
		path := indexPath("groups", i)
		n.declare(joinPath(path, "name"), g.Name, string(g.ID()))
		v.checkReference(joinPath(path, "service"), "service", g.Service, services)
		v.spread(g, joinPath(path, "targets"))
		for j := range g.Targets {
			targetPath := indexPath(joinPath(path, "targets"), j)
			t := &g.Targets[j]
			targets.declare(joinPath(targetPath, "id"), string(t.ID), string(t.ID))
			v.checkReference(joinPath(targetPath, "data_centre"), "data centre", string(t.DataCentre), centres)
			v.address(joinPath(targetPath, "address"), t.Address, addresses)
			v.capacity(targetPath, t)
		}
	}
}

// spread reports a group in which no target stays, and warns of a group that the
// loss of one data centre would make unavailable.
func (v *validator) spread(g *Group, path string) {
	if !v.given(path) {
		return
	}
	if len(g.Targets) == 0 {
		v.add(path, "the group has no target", "at least one")
		return
	}
	if !slices.ContainsFunc(g.Targets, func(t Target) bool { return !t.Leaving }) {
		v.add(path, "every target of the group is leaving", "at least one target that stays")
	}
	centres := map[topology.DataCentre]bool{}
	for _, t := range g.Targets {
		centres[t.DataCentre] = true
	}
	if len(centres) == 1 {
		v.warn(path, "all targets of the group are in one data centre", "two data centres or more survive the loss of one")
	}
}

func (v *validator) address(path, address string, taken map[string]string) {
	if !v.given(path) {
		return
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Port() == 0 {
		v.add(path, fmt.Sprintf("%q is not an address", address), `an IP number and a port, such as "10.0.0.5:5432"`)
		return
	}
	if first, ok := taken[parsed.String()]; ok {
		v.add(path, fmt.Sprintf("address %s is given twice", address), "one target an address; the first is "+first)
		return
	}
	taken[parsed.String()] = path
}

func (v *validator) capacity(path string, t *Target) {
	if t.Slots > t.Connections {
		what := fmt.Sprintf("%d slots can't be used over %d connections", t.Slots, t.Connections)
		v.add(joinPath(path, "slots"), what, "at most as many slots as connections")
	}
}

func (v *validator) classes() {
	n := v.newNameSet("class")
	services := v.serviceNames()
	smallest := v.smallestGroups()
	for i := range v.doc.Classes {
		c := &v.doc.Classes[i]
		path := indexPath("classes", i)
		n.declare(joinPath(path, "name"), c.Name, c.Service+"/"+c.Name)
		v.checkReference(joinPath(path, "service"), "service", c.Service, services)
		switch c.Kind {
		case Read:
			v.readClass(path, c)
		case Write:
			v.writeClass(path, c, smallest)
		}
	}
}

// readClass marks the class as repeatable and reports settings that only write
// classes may have.
func (v *validator) readClass(path string, c *Class) {
	repeatable := joinPath(path, "repeatable")
	if v.given(repeatable) && !c.Repeatable {
		v.add(repeatable, "a read class is always repeatable", "leave the key out, or true")
	}
	c.Repeatable = true
	if c.AckWaitsForReplica {
		v.add(joinPath(path, "ack_waits_for_replica"), "a read class acknowledges no write", "write classes only")
	}
}

func (v *validator) writeClass(path string, c *Class, smallest map[string]int) {
	if c.Staleness != 0 {
		v.add(joinPath(path, "staleness"), "a write class has no staleness", "read classes only")
	}
	size, known := smallest[c.Service]
	if c.AckWaitsForReplica && known && size < minTargetsForReplicaAck {
		what := fmt.Sprintf("a group of service %q has %d target that stays, so no replica to wait for", c.Service, size)
		v.add(joinPath(path, "ack_waits_for_replica"), what, "two targets or more in each group, or false")
	}
}

// smallestGroups returns the number of targets in each service's smallest group,
// not counting the targets that are leaving.
func (v *validator) smallestGroups() map[string]int {
	sizes := map[string]int{}
	for _, g := range v.doc.Groups {
		staying := 0
		for _, t := range g.Targets {
			if !t.Leaving {
				staying++
			}
		}
		if size, ok := sizes[g.Service]; !ok || staying < size {
			sizes[g.Service] = staying
		}
	}
	return sizes
}

func (v *validator) serviceNames() []string {
	return namesOf(v.doc.Services, func(s Service) string { return s.Name })
}

func namesOf[T any](records []T, name func(T) string) []string {
	out := make([]string, 0, len(records))
	for _, r := range records {
		out = append(out, name(r))
	}
	return out
}
