package config

import (
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Versions holds the versions of an accepted document and of an accepted preset
// switch. Both count from 1 and never decrease; 0 means none.
type Versions struct {
	Config uint64 `json:"config"`
	Preset uint64 `json:"preset"`
}

// AtLeast reports whether neither version is below its counterpart in w.
func (v Versions) AtLeast(w Versions) bool {
	return v.Config >= w.Config && v.Preset >= w.Preset
}

// Offer is the configuration that the platform or a peer holds.
type Offer struct {
	Versions Versions
	Document *Document
	Hash     string
	Preset   string
}

// InForce is the configuration in force on one daemon. The zero value has none.
// It is not safe for concurrent use; the View that it returns is.
type InForce struct {
	held Offer
	view *View
}

// Versions returns the versions in force.
func (f *InForce) Versions() Versions { return f.held.Versions }

// Current returns the configuration in force, to be offered to peers.
func (f *InForce) Current() Offer { return f.held }

// View returns the resolved configuration in force, or nil when there is none.
func (f *InForce) View() *View { return f.view }

// Accept adopts the document and the preset of the offer where they are newer,
// and reports whether anything changed. It returns
//   - ConfigTooOld when one of them is older and neither is newer,
//   - UnknownPreset when the newest document lacks the newest preset,
//   - InvariantBroken when a version in force is offered with other content.
//
// A late answer or a lagging peer may offer an old version after a newer one.
// Adopting it would revert an accepted change. Versions are assigned by a
// compare-and-set in the platform's table, so comparing them suffices.
func (f *InForce) Accept(o Offer) (bool, error) {
	if err := f.checkSameContent(o); err != nil {
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
	// A document may drop a preset that is no longer in force. A daemon that has
	// not yet received the switch keeps its old document with its old preset
	// until it does; it never chooses a preset by itself.
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

func (f *InForce) checkSameContent(o Offer) error {
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

// PeerReport holds the versions that a peer has in force.
type PeerReport struct {
	VM       topology.VMID
	Versions Versions
}

// StartPlan names the peers from which a daemon takes its configuration when it
// starts while the platform is unavailable.
type StartPlan struct {
	// ConfigFrom and PresetFrom are the peers with the highest version of the
	// document and of the preset.
	ConfigFrom topology.VMID
	PresetFrom topology.VMID
	Versions   Versions
}

// PlanStart picks the highest versions that peers hold. It returns false when no
// peer has a document. The platform may hold newer versions than the plan, so the
// daemon reports that it started from peers until it has read the platform.
func PlanStart(reports []PeerReport) (StartPlan, bool) {
	var plan StartPlan
	for _, r := range reports {
		if preferred(r.Versions.Config, plan.Versions.Config, r.VM, plan.ConfigFrom) {
			plan.ConfigFrom, plan.Versions.Config = r.VM, r.Versions.Config
		}
		if preferred(r.Versions.Preset, plan.Versions.Preset, r.VM, plan.PresetFrom) {
			plan.PresetFrom, plan.Versions.Preset = r.VM, r.Versions.Preset
		}
	}
	return plan, plan.Versions.Config > 0
}

// preferred reports whether a peer's version is chosen over the best so far: a
// higher version, or the same version and a lower VM id, so that the order of the
// reports does not matter.
func preferred(version, best uint64, vm, bestVM topology.VMID) bool {
	if version != best {
		return version > best
	}
	return version > 0 && vm < bestVM
}
