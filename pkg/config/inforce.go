package config

import (
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Versions names an accepted document and an accepted switch of the preset. Both
// count from 1 and never go back; 0 is none.
type Versions struct {
	Config uint64 `json:"config"`
	Preset uint64 `json:"preset"`
}

// AtLeast reports whether neither version is below its counterpart in w.
func (v Versions) AtLeast(w Versions) bool {
	return v.Config >= w.Config && v.Preset >= w.Preset
}

// Offer is what the platform or a peer holds.
type Offer struct {
	Versions Versions
	Document *Document
	Hash     string
	Preset   string
}

// InForce is what one daemon has in force. The zero value has nothing. It is not
// safe for concurrent use; the View that it gives out is.
type InForce struct {
	held Offer
	view *View
}

// Versions returns the versions in force.
func (f *InForce) Versions() Versions { return f.held.Versions }

// Held returns what is in force, to be offered to peers.
func (f *InForce) Held() Offer { return f.held }

// View returns the resolved configuration in force, nil before the first.
func (f *InForce) View() *View { return f.view }

// Accept takes over what is newer in the offer and reports whether anything
// changed. It refuses with ConfigTooOld what is older in one part and newer in
// none, with UnknownPreset a document that lacks the newest preset known here,
// and with InvariantBroken another content under a version that is held.
//
// Failure guarded against: a late answer or a lagging peer offers an old
// version after a newer one; the daemon would revert an accepted change.
// Versions come from the table's compare-and-set, so comparing them suffices.
func (f *InForce) Accept(o Offer) (bool, error) {
	if err := f.contradicts(o); err != nil {
		return false, err
	}
	next := f.merge(o)
	if next.Versions == f.held.Versions {
		if !o.Versions.AtLeast(f.held.Versions) {
			return false, result.New(result.ConfigTooOld, "offered %+v, in force %+v", o.Versions, f.held.Versions)
		}
		return false, nil
	}
	if next.Document == nil {
		return false, result.New(result.NotFound, "no configuration is known yet")
	}
	// A document may drop a preset that was switched away from before. A daemon
	// that has not heard of the switch keeps the old pair as a whole until it
	// does; it never runs a preset of its own choice.
	view, err := Effective(next.Document, next.Preset)
	if err != nil {
		return false, err
	}
	if !next.Versions.AtLeast(f.held.Versions) {
		return false, result.New(result.InvariantBroken, "configuration goes back from %+v to %+v", f.held.Versions, next.Versions)
	}
	f.held, f.view = next, view
	return true, nil
}

func (f *InForce) contradicts(o Offer) error {
	sameConfig := o.Versions.Config == f.held.Versions.Config && o.Versions.Config > 0
	if sameConfig && o.Hash != f.held.Hash {
		return result.New(result.InvariantBroken, "two documents have version %d", o.Versions.Config)
	}
	samePreset := o.Versions.Preset == f.held.Versions.Preset && o.Versions.Preset > 0
	if samePreset && o.Preset != f.held.Preset {
		return result.New(result.InvariantBroken, "two switches have version %d", o.Versions.Preset)
	}
	return nil
}

func (f *InForce) merge(o Offer) Offer {
	next := f.held
	if next.Preset == "" {
		next.Preset = OrdinaryPreset
	}
	if o.Versions.Config > next.Versions.Config {
		next.Versions.Config, next.Document, next.Hash = o.Versions.Config, o.Document, o.Hash
	}
	if o.Versions.Preset > next.Versions.Preset {
		next.Versions.Preset, next.Preset = o.Versions.Preset, o.Preset
	}
	return next
}

// PeerReport says which versions a peer has in force.
type PeerReport struct {
	VM       topology.VMID
	Versions Versions
}

// StartPlan tells a daemon that starts while the platform is out whose
// configuration to take.
type StartPlan struct {
	// ConfigFrom and PresetFrom hold the highest version of each.
	ConfigFrom topology.VMID
	PresetFrom topology.VMID
	Versions   Versions
}

// PlanStart picks the highest versions that peers hold; it reports false when no
// peer has a document. The plan may be older than what the platform holds: the
// daemon says that it started from peers until it has read the platform.
func PlanStart(reports []PeerReport) (StartPlan, bool) {
	var plan StartPlan
	for _, r := range reports {
		if ahead(r.Versions.Config, plan.Versions.Config, r.VM, plan.ConfigFrom) {
			plan.ConfigFrom, plan.Versions.Config = r.VM, r.Versions.Config
		}
		if ahead(r.Versions.Preset, plan.Versions.Preset, r.VM, plan.PresetFrom) {
			plan.PresetFrom, plan.Versions.Preset = r.VM, r.Versions.Preset
		}
	}
	return plan, plan.Versions.Config > 0
}

// ahead prefers the higher version and then the lower VM id, so that the order
// of the reports does not matter.
func ahead(version, best uint64, vm, bestVM topology.VMID) bool {
	if version != best {
		return version > best
	}
	return version > 0 && vm < bestVM
}
