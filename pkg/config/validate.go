package config

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// validName keeps names apart from the separators that join them: "/" in group
// ids, "," in lists of targets that go to the databases.
var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$`)

const nameRule = "1 to 63 letters, digits, '-', '_' or '.', a letter or digit first"

// minTargetsToWait is the least size of a group whose writes wait for a replica.
const minTargetsToWait = 2

// validator checks what one value alone can't show: names, references and
// limits that clash.
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

// names is the set of names of one table and reports those given twice.
type names struct {
	v     *validator
	what  string
	first map[string]string
	order []string
}

func (v *validator) newNames(what string) *names {
	return &names{v: v, what: what, first: map[string]string{}}
}

// declare checks a new name; key is what must be unique.
func (n *names) declare(path, name, key string) {
	if !n.v.given(path) {
		return
	}
	if !validName.MatchString(name) {
		n.v.add(path, fmt.Sprintf("%q is not a valid name", name), nameRule)
		return
	}
	if first, ok := n.first[key]; ok {
		n.v.add(path, fmt.Sprintf("%s %q is declared twice", n.what, key), "one declaration; the first is "+first)
		return
	}
	n.first[key] = path
	n.order = append(n.order, key)
}

// refer checks a reference to a name.
func (v *validator) refer(path, what, name string, known []string) {
	if !v.given(path) {
		return
	}
	for _, k := range known {
		if k == name {
			return
		}
	}
	v.add(path, fmt.Sprintf("there is no %s %q", what, name), orNone(listAndSuggest(name, known)))
}

func orNone(list string) string {
	if list == "" {
		return "none is declared"
	}
	return list
}

func (v *validator) dataCentres() {
	n := v.newNames("data centre")
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
	n := v.newNames("member")
	for i, m := range v.doc.Members {
		n.declare(joinPath(indexPath("members", i), "name"), m.Name, m.Name)
	}
}

func (v *validator) services() {
	n := v.newNames("service")
	members := namesOf(v.doc.Members, func(m Member) string { return m.Name })
	withGroups := map[string]bool{}
	for _, g := range v.doc.Groups {
		withGroups[g.Service] = true
	}
	for i, s := range v.doc.Services {
		path := indexPath("services", i)
		n.declare(joinPath(path, "name"), s.Name, s.Name)
		v.refer(joinPath(path, "member"), "member", s.Member, members)
		if s.Name != "" && !withGroups[s.Name] {
			v.add(joinPath(path, "name"), fmt.Sprintf("service %q has no group", s.Name), "at least one entry in groups")
		}
	}
}

func (v *validator) groups() {
	n := v.newNames("group")
	services := v.serviceNames()
	centres := namesOf(v.doc.DataCentres, func(d DataCentre) string { return string(d.Name) })
	targets := v.newNames("target")
	addresses := map[string]string{}
	for i := range v.doc.Groups {
		g := &v.doc.Groups[i]
		path := indexPath("groups", i)
		n.declare(joinPath(path, "name"), g.Name, string(g.ID()))
		v.refer(joinPath(path, "service"), "service", g.Service, services)
		v.spread(g, joinPath(path, "targets"))
		for j := range g.Targets {
			targetPath := indexPath(joinPath(path, "targets"), j)
			t := &g.Targets[j]
			targets.declare(joinPath(targetPath, "id"), string(t.ID), string(t.ID))
			v.refer(joinPath(targetPath, "data_centre"), "data centre", string(t.DataCentre), centres)
			v.address(joinPath(targetPath, "address"), t.Address, addresses)
			v.capacity(targetPath, t)
		}
	}
}

// spread warns of a group that one data centre's loss would end.
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
	n := v.newNames("class")
	services := v.serviceNames()
	smallest := v.smallestGroups()
	for i := range v.doc.Classes {
		c := &v.doc.Classes[i]
		path := indexPath("classes", i)
		n.declare(joinPath(path, "name"), c.Name, c.Service+"/"+c.Name)
		v.refer(joinPath(path, "service"), "service", c.Service, services)
		switch c.Kind {
		case Read:
			v.readClass(path, c)
		case Write:
			v.writeClass(path, c, smallest)
		}
	}
}

// readClass fills in that reads are repeatable, and refuses what only writes have.
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
	if c.AckWaitsForReplica && known && size < minTargetsToWait {
		what := fmt.Sprintf("a group of service %q has %d target, so no replica to wait for", c.Service, size)
		v.add(joinPath(path, "ack_waits_for_replica"), what, "two targets or more in each group, or false")
	}
}

// smallestGroups returns the size of each service's smallest group.
func (v *validator) smallestGroups() map[string]int {
	sizes := map[string]int{}
	for _, g := range v.doc.Groups {
		size, ok := sizes[g.Service]
		if !ok || len(g.Targets) < size {
			sizes[g.Service] = len(g.Targets)
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
