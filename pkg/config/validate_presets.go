package config

import (
	"fmt"
	"slices"
)

func (v *validator) presets() {
	n := v.newNameSet("preset")
	for i := range v.doc.Presets {
		p := &v.doc.Presets[i]
		path := indexPath("presets", i)
		n.declare(joinPath(path, "name"), p.Name, p.Name)
		v.classOverrides(path, p)
		v.memberOverrides(path, p)
	}
	if v.given("presets") && !slices.Contains(n.order, OrdinaryPreset) {
		v.add("presets", fmt.Sprintf("there is no preset %q", OrdinaryPreset), "it is in force until an operator switches")
	}
}

func (v *validator) classOverrides(path string, p *Preset) {
	services := v.serviceNames()
	seen := map[string]bool{}
	for i, o := range p.Classes {
		overridePath := indexPath(joinPath(path, "classes"), i)
		v.checkReference(joinPath(overridePath, "service"), "service", o.Service, services)
		key := o.Service + "/" + o.Class
		if seen[key] {
			v.add(overridePath, fmt.Sprintf("class %q is overridden twice", key), "once a preset")
		}
		seen[key] = true
		if !slices.Contains(services, o.Service) {
			continue
		}
		v.checkReference(joinPath(overridePath, "class"), "class of service "+o.Service, o.Class, v.classesOf(o.Service))
		if v.kindOf(o.Service, o.Class) == Write && o.Staleness != nil {
			v.add(joinPath(overridePath, "staleness"), "a write class has no staleness", "read classes only")
		}
	}
}

func (v *validator) memberOverrides(path string, p *Preset) {
	members := namesOf(v.doc.Members, func(m Member) string { return m.Name })
	seen := map[string]bool{}
	for i, o := range p.Members {
		overridePath := indexPath(joinPath(path, "members"), i)
		v.checkReference(joinPath(overridePath, "member"), "member", o.Member, members)
		if seen[o.Member] {
			v.add(overridePath, fmt.Sprintf("member %q is overridden twice", o.Member), "once a preset")
		}
		seen[o.Member] = true
	}
}

func (v *validator) classesOf(service string) []string {
	var out []string
	for _, c := range v.doc.Classes {
		if c.Service == service {
			out = append(out, c.Name)
		}
	}
	return out
}

func (v *validator) kindOf(service, class string) Kind {
	for _, c := range v.doc.Classes {
		if c.Service == service && c.Name == class {
			return c.Kind
		}
	}
	return ""
}
