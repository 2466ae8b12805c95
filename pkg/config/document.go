// Package config holds the operators' one document: data centres, members,
// services, groups, request classes, presets and limits. It parses and checks
// the document, resolves what a preset changes and says what two documents
// differ in. It does no I/O.
//
// The document is JSON with comments. Unknown keys are errors, and all problems
// are reported at once with their place in the file.
package config

import "github.com/buckthornshore/buckthornshore/pkg/topology"

// OrdinaryPreset is the preset in force until an operator switches; every
// document has it.
const OrdinaryPreset = "ordinary"

// Document is the whole configuration, flat: records refer to others by name.
// Service names and target ids are unique in the document, so that a GroupID is
// service/group.
type Document struct {
	DataCentres []DataCentre `json:"data_centres" required:"true"`
	Members     []Member     `json:"members" required:"true"`
	Services    []Service    `json:"services" required:"true"`
	Groups      []Group      `json:"groups" required:"true"`
	Classes     []Class      `json:"classes" required:"true"`
	Presets     []Preset     `json:"presets" required:"true"`
	RetryBudget RetryBudget  `json:"retry_budget"`
	Limits      Limits       `json:"limits"`
}

// DataCentre is a place with VMs and targets of its own.
type DataCentre struct {
	Name topology.DataCentre `json:"name" required:"true"`
	// Region groups data centres that are near each other.
	Region string `json:"region" required:"true"`
}

// Member is a customer.
type Member struct {
	Name string `json:"name" required:"true"`
	// Weight is the member's share of a contended target against other members'.
	Weight int `json:"weight" min:"1" max:"1000"`
	// MaxSessions is the most sessions on one daemon.
	MaxSessions int `json:"max_sessions" min:"1"`
	// MaxRequests is the most requests under way on one daemon.
	MaxRequests int `json:"max_requests" min:"1"`
}

// Service is one database service of a member, split into groups by shard key.
type Service struct {
	Member string `json:"member" required:"true"`
	Name   string `json:"name" required:"true"`
}

// Group is a primary with its replicas.
type Group struct {
	Service string   `json:"service" required:"true"`
	Name    string   `json:"name" required:"true"`
	Targets []Target `json:"targets" required:"true"`
}

// ID names the group in the whole document.
func (g *Group) ID() topology.GroupID { return GroupID(g.Service, g.Name) }

// GroupID joins a service's name and a group's.
func GroupID(service, group string) topology.GroupID {
	return topology.GroupID(service + "/" + group)
}

// Target is one database of a group.
type Target struct {
	ID         topology.TargetID   `json:"id" required:"true"`
	DataCentre topology.DataCentre `json:"data_centre" required:"true"`
	// Address is an IP number and a port.
	Address string `json:"address" required:"true"`
	// Slots is the number of statements that the database runs at once.
	Slots int `json:"slots" min:"1"`
	// Connections is the most connections that the database accepts.
	Connections int `json:"connections" min:"1"`
	// ConnectTime is what a new connection usually takes.
	ConnectTime Duration `json:"connect_time" min:"0s" max:"60s"`
	// Leaving: the target is to get no new work; a primary is switched over.
	Leaving bool `json:"leaving"`
}

// Class says what a kind of request needs.
type Class struct {
	Service string `json:"service" required:"true"`
	Name    string `json:"name" required:"true"`
	Kind    Kind   `json:"kind" required:"true"`
	// Staleness is the greatest age of what a read shows; 0: only what is shown
	// to be newest. Read-your-writes holds besides, whatever its value.
	Staleness Duration `json:"staleness" min:"0s" max:"24h"`
	// Repeatable: running the request twice does no harm. Reads always are.
	Repeatable bool     `json:"repeatable"`
	Priority   Priority `json:"priority"`
	// Deadline is the most time from a request's arrival to its answer.
	Deadline Duration `json:"deadline" min:"1ms" max:"24h"`
	// AckWaitsForReplica: a write is acknowledged only when a replica holds it
	// too, so it survives the loss of the primary.
	AckWaitsForReplica bool `json:"ack_waits_for_replica"`
	// QueueLimit is the most requests of the class that wait for one target.
	QueueLimit int `json:"queue_limit" min:"1"`
	// MaxAttempts counts the first attempt too.
	MaxAttempts int `json:"max_attempts" min:"1" max:"100"`
}

// Preset is a named set of overrides. What it does not name stays as it is.
type Preset struct {
	Name        string           `json:"name" required:"true"`
	Classes     []ClassOverride  `json:"classes,omitempty"`
	Members     []MemberOverride `json:"members,omitempty"`
	RetryBudget *RetryBudget     `json:"retry_budget,omitempty"`
}

// ClassOverride changes one class while a preset is in force; nil keeps.
type ClassOverride struct {
	Service    string    `json:"service" required:"true"`
	Class      string    `json:"class" required:"true"`
	Staleness  *Duration `json:"staleness,omitempty" min:"0s" max:"24h"`
	Priority   *Priority `json:"priority,omitempty"`
	Deadline   *Duration `json:"deadline,omitempty" min:"1ms" max:"24h"`
	QueueLimit *int      `json:"queue_limit,omitempty" min:"1"`
}

// MemberOverride changes one member while a preset is in force; nil keeps.
type MemberOverride struct {
	Member      string `json:"member" required:"true"`
	Weight      *int   `json:"weight,omitempty" min:"1" max:"1000"`
	MaxSessions *int   `json:"max_sessions,omitempty" min:"1"`
	MaxRequests *int   `json:"max_requests,omitempty" min:"1"`
}

// RetryBudget bounds the retries of one daemon.
type RetryBudget struct {
	// Percent is the number of retries that 100 requests earn.
	Percent int `json:"percent" min:"0" max:"100"`
	// Burst is the most retries that can be saved up.
	Burst int `json:"burst" min:"0"`
}

// Limits bound what one daemon takes on.
type Limits struct {
	SessionsPerDaemon int `json:"sessions_per_daemon" min:"1"`
	// MessageBytes is the largest message taken from a caller.
	MessageBytes int `json:"message_bytes" min:"1024"`
	// ResultBytes is the largest answer that is kept for a caller.
	ResultBytes int `json:"result_bytes" min:"1024"`
	// IdleInTransactionTimeout ends a transaction whose caller is silent: it
	// holds a slot that others wait for.
	IdleInTransactionTimeout Duration `json:"idle_in_transaction_timeout" min:"1ms" max:"1h"`
	// DrainTime is the most that a planned stop waits for running transactions.
	DrainTime Duration `json:"drain_time" min:"1s" max:"1h"`
}
