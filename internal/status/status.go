// Package status defines the status records that daemons return to operators. Each
// shows the view of one daemon, which may differ from another daemon's.
package status

import (
	"time"

	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Kinds of status that a daemon can return.
const (
	KindGroups   = "groups"
	KindTargets  = "targets"
	KindVMs      = "vms"
	KindSessions = "sessions"
	KindConfig   = "config"
)

// Group is one group's row.
type Group struct {
	Group     topology.GroupID    `json:"group"`
	Term      uint64              `json:"term"`
	Version   uint64              `json:"version"`
	Primary   topology.TargetID   `json:"primary"`
	Pooler    topology.VMID       `json:"pooler"`
	Promoters []topology.Promoter `json:"promoters"`
}

// Target is one database as the daemon sees it.
type Target struct {
	Target     topology.TargetID   `json:"target"`
	Group      topology.GroupID    `json:"group"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Address    string              `json:"address"`
	Primary    bool                `json:"primary"`
	Leaving    bool                `json:"leaving"`
	Pooler     topology.VMID       `json:"pooler"`
}

// VM is the state of one daemon as the responding daemon sees it.
type VM struct {
	VM          topology.VMID       `json:"vm"`
	DataCentre  topology.DataCentre `json:"data_centre"`
	PeerAddress string              `json:"peer_address"`
	State       string              `json:"state"`
	Avoided     bool                `json:"avoided"`
}

// Sessions counts the sessions of a daemon's callers.
type Sessions struct {
	VM       topology.VMID `json:"vm"`
	Sessions int           `json:"sessions"`
	Serving  bool          `json:"serving"`
	// Running is the number of requests and transactions running at the targets
	// that the daemon pools.
	Running int `json:"running"`
}

// Config is the configuration that one daemon has in force.
type Config struct {
	VM            topology.VMID `json:"vm"`
	Config        uint64        `json:"config"`
	PresetVersion uint64        `json:"preset_version"`
	Preset        string        `json:"preset"`
	Hash          string        `json:"hash"`
	// Since is when the configuration came into force, by the daemon's clock.
	Since time.Time `json:"since"`
	// PlatformAge is how long ago the platform last answered, here or at the
	// relay that this daemon follows.
	PlatformAge settings.Duration `json:"platform_age"`
}
