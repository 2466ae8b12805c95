// Package topology defines the records that describe the VMs, data centres, groups
// and targets, and which VMs may promote a replica of a group.
package topology

import "github.com/buckthornshore/buckthornshore/pkg/position"

// VMID names a VM that runs a daemon.
type VMID string

// DataCentre names a data centre.
type DataCentre string

// TargetID names one database of a group.
type TargetID string

// GroupID names a group as service/group.
type GroupID string

// CustomerID names a customer, whose sessions share its limits.
type CustomerID string

// Incarnation numbers the starts of one VM's daemon. A daemon that restarts has lost
// its state, including its promises, and gets a new incarnation.
type Incarnation uint64

// VM describes the daemon on one VM, from the platform's list and the daemon's settings.
type VM struct {
	ID          VMID        `json:"id"`
	DataCentre  DataCentre  `json:"data_centre"`
	Region      string      `json:"region"`
	PeerAddress string      `json:"peer_address"`
	Incarnation Incarnation `json:"incarnation"`
	Leaving     bool        `json:"leaving"`
	// Cores is the processor time that the VM has, in cores; 0 means unknown.
	Cores float64 `json:"cores,omitempty"`
}

// Target is one database.
type Target struct {
	ID         TargetID   `json:"id"`
	Group      GroupID    `json:"group"`
	DataCentre DataCentre `json:"data_centre"`
	Address    string     `json:"address"`
	Leaving    bool       `json:"leaving"`
}

// Promoter is one entry of a group's list of promoters: a daemon that promises the
// pooler of the primary not to promote its replica, and the only one that may promote it.
type Promoter struct {
	VM          VMID        `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
	Replica     TargetID    `json:"replica"`
	// Synced is set if classes whose acknowledgement waits for a replica also wait for
	// this replica, so that it holds every such write and may be promoted.
	Synced bool `json:"synced"`
}

// Group is the group's row in the platform's table. Every change raises
// Version; only a promotion raises Term.
type Group struct {
	ID      GroupID  `json:"id"`
	Version uint64   `json:"version"`
	Term    uint64   `json:"term"`
	Primary TargetID `json:"primary"`
	// Promoters is never empty: with an empty list a pooler could acknowledge writes
	// while no daemon could withdraw its right.
	Promoters []Promoter `json:"promoters"`
	// Unsettled holds the earlier lists of this term in which no entry is known to
	// have stopped promising. A promotion needs one entry of each list.
	Unsettled []PromoterList `json:"unsettled,omitempty"`
	// History lists the position at which each earlier term ended. Entries of that
	// term after this position are lost.
	History []TermEnd `json:"history,omitempty"`
	// ChangeID names the change that wrote this version, so that a writer whose
	// answer was lost can tell its own change from another's.
	ChangeID string `json:"change_id"`
}

// PromoterList is the list of promoters in one version of the row.
type PromoterList struct {
	Version   uint64     `json:"version"`
	Promoters []Promoter `json:"promoters"`
}

// TermEnd is the last position of an earlier term that the next primary held.
type TermEnd struct {
	Term uint64            `json:"term"`
	End  position.Position `json:"end"`
}

// Lost reports whether an acknowledged write at p is lost: its term ended at an
// earlier position.
func (g *Group) Lost(p position.Position) bool {
	for _, h := range g.History {
		if h.Term == p.Term {
			return h.End.Less(p)
		}
	}
	return false
}

// Clone returns a deep copy of g.
func (g *Group) Clone() *Group {
	c := *g
	c.Promoters = append([]Promoter(nil), g.Promoters...)
	c.History = append([]TermEnd(nil), g.History...)
	c.Unsettled = nil
	for _, l := range g.Unsettled {
		c.Unsettled = append(c.Unsettled, PromoterList{Version: l.Version, Promoters: append([]Promoter(nil), l.Promoters...)})
	}
	return &c
}
