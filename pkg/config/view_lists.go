package config

import (
	"slices"
	"strings"
)

// DataCentres returns all data centres, sorted by name.
func (v *View) DataCentres() []DataCentre {
	out := make([]DataCentre, 0, len(v.dataCentres))
	for _, dc := range v.dataCentres {
		out = append(out, dc)
	}
	slices.SortFunc(out, func(a, b DataCentre) int { return strings.Compare(string(a.Name), string(b.Name)) })
	return out
}

// Classes returns a service's classes with the preset applied, sorted by name.
func (v *View) Classes(service string) []Class {
	var out []Class
	for key, c := range v.classes {
		if key.service == service {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Class) int { return strings.Compare(a.Name, b.Name) })
	return out
}
