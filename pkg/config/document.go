// Package config defines the configuration document, which operators write: data
// centres, members, services, groups, request classes, presets and limits. It
// parses and validates the document, applies presets and computes the
// differences between two documents. It does no I/O.
//
// The document is JSON with comments. Unknown keys are errors, and all problems
// are reported at once with their positions in the file.
package config

import "github.com/buckthornshore/buckthornshore/pkg/topology"

// OrdinaryPreset is the preset in force until an operator switches to another.
// Every document declares it.
const OrdinaryPreset = "ordinary"

// Document is the whole configuration. It is flat: records refer to others by
// name. Service names and target ids are unique in the document, so service/group
// identifies a group.
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

// DataCentre is a data centre with its own VMs and targets.
type DataCentre struct {
	Name topology.DataCentre `json:"name" required:"true"`
	// Region groups data centres that are near each other.
	Region string `json:"region" required:"true"`
}

// Member is a customer.
type Member struct {
	Name string `json:"name" required:"true"`
	// Weight is the member's share of a contended target, relative to the weights
	// of the other members.
	Weight int `json:"weight" min:"1" max:"1000"`
	// MaxSessions is the maximum number of sessions on one daemon.
	MaxSessions int `json:"max_sessions" min:"1"`
	// MaxRequests is the maximum number of requests in progress on one daemon.
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

// ID returns the id of the group, which is unique in the document.
func (g *Group) ID() topology.GroupID { return GroupID(g.Service, g.Name) }

// GroupID joins the names of a service and a group into a group id.
func GroupID(service, group string) topology.GroupID {
	return topology.GroupID(service + "/" + group)
}

// Target is one database of a group.
type Target struct {
	ID         topology.TargetID   `json:"id" required:"true"`
	DataCentre topology.DataCentre `json:"data_centre" required:"true"`
	// Address is an IP address and a port.
	Address string `json:"address" required:"true"`
	// Slots is the number of statements that the database runs at once.
	Slots int `json:"slots" min:"1"`
	// Connections is the maximum number of connections that the database accepts.
	Connections int `json:"connections" min:"1"`
	// ConnectTime is the usual time to open a connection.
	ConnectTime Duration `json:"connect_time" min:"0s" max:"60s"`
	// Leaving is set when the target is to get no new work. A primary that is
	// leaving is switched over.
	Leaving bool `json:"leaving"`
}

// Class describes the requirements of one kind of request.
type Class struct {
	Service string `json:"service" required:"true"`
	Name    string `json:"name" required:"true"`
	Kind    Kind   `json:"kind" required:"true"`
	// Staleness is the maximum age of the data that a read returns. With 0, a read
	// returns only data that is proven to be current. Read-your-writes holds
	// whatever the value.
	Staleness Duration `json:"staleness" min:"0s" max:"24h"`
	// Repeatable is set when running a request twice does no harm. Reads are
	// always repeatable.
	Repeatable bool     `json:"repeatable"`
	Priority   Priority `json:"priority"`
	// Deadline is the maximum time from a request's arrival to its answer.
	Deadline Duration `json:"deadline" min:"1ms" max:"24h"`
	// AckWaitsForReplica is set when a write is acknowledged only after a replica
	// holds it too, so that it survives the loss of the primary.
	AckWaitsForReplica bool `json:"ack_waits_for_replica"`
	// QueueLimit is the maximum number of the class's requests that wait for one
	// target.
	QueueLimit int `json:"queue_limit" min:"1"`
	// MaxAttempts is the maximum number of attempts, including the first.
	MaxAttempts int `json:"max_attempts" min:"1" max:"100"`
}

// Preset is a named set of overrides. Settings that it does not name keep their
// values.
type Preset struct {
	Name        string           `json:"name" required:"true"`
	Classes     []ClassOverride  `json:"classes,omitempty"`
	Members     []MemberOverride `json:"members,omitempty"`
	RetryBudget *RetryBudget     `json:"retry_budget,omitempty"`
}

// ClassOverride changes one class while a preset is in force. A nil field keeps
// the value of the class.
type ClassOverride struct {
	Service    string    `json:"service" required:"true"`
	Class      string    `json:"class" required:"true"`
	Staleness  *Duration `json:"staleness,omitempty" min:"0s" max:"24h"`
	Priority   *Priority `json:"priority,omitempty"`
	Deadline   *Duration `json:"deadline,omitempty" min:"1ms" max:"24h"`
	QueueLimit *int      `json:"queue_limit,omitempty" min:"1"`
}

// MemberOverride changes one member while a preset is in force. A nil field
// keeps the value of the member.
type MemberOverride struct {
	Member      string `json:"member" required:"true"`
	Weight      *int   `json:"weight,omitempty" min:"1" max:"1000"`
	MaxSessions *int   `json:"max_sessions,omitempty" min:"1"`
	MaxRequests *int   `json:"max_requests,omitempty" min:"1"`
}

// RetryBudget limits the retries of one daemon.
type RetryBudget struct {
	// Percent is the number of retries that every 100 requests add to the budget.
	Percent int `json:"percent" min:"0" max:"100"`
	// Burst is the maximum number of unused retries that accumulate.
	Burst int `json:"burst" min:"0"`
}

// Limits bounds the load that one daemon accepts.
type Limits struct {
	SessionsPerDaemon int `json:"sessions_per_daemon" min:"1"`
	// MessageBytes is the maximum size of a message from a caller, in bytes.
	MessageBytes int `json:"message_bytes" min:"1024"`
	// ResultBytes is the maximum size of an answer that is kept for a caller, in
	// bytes.
	ResultBytes int `json:"result_bytes" min:"1024"`
	// IdleInTransactionTimeout is the time after which a transaction whose caller
	// sends nothing is ended: it holds a slot that others wait for.
	IdleInTransactionTimeout Duration `json:"idle_in_transaction_timeout" min:"1ms" max:"1h"`
	// DrainTime is the maximum time that a planned stop waits for running
	// transactions.
	DrainTime Duration `json:"drain_time" min:"1s" max:"1h"`
}
