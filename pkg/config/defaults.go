package config

import "time"

// Default values of keys that the document omits.
const (
	DefaultWeight      = 1
	DefaultMaxSessions = 2000
	DefaultMaxRequests = 1000

	DefaultSlots       = 2
	DefaultConnections = 16
	DefaultConnectTime = Duration(10 * time.Millisecond)

	DefaultDeadline    = Duration(5 * time.Second)
	DefaultQueueLimit  = 200
	DefaultMaxAttempts = 3

	DefaultRetryPercent = 10
	DefaultRetryBurst   = 50

	DefaultSessionsPerDaemon        = 4000
	DefaultMessageBytes             = 1 << 20
	DefaultResultBytes              = 8 << 20
	DefaultIdleInTransactionTimeout = Duration(10 * time.Second)
	DefaultDrainTime                = Duration(30 * time.Second)
)

// defaulter is a record that sets its defaults before its keys are decoded.
type defaulter interface{ setDefaults() }

func (d *Document) setDefaults() {
	d.RetryBudget.setDefaults()
	d.Limits.setDefaults()
}

func (m *Member) setDefaults() {
	m.Weight = DefaultWeight
	m.MaxSessions = DefaultMaxSessions
	m.MaxRequests = DefaultMaxRequests
}

func (t *Target) setDefaults() {
	t.Slots = DefaultSlots
	t.Connections = DefaultConnections
	t.ConnectTime = DefaultConnectTime
}

func (c *Class) setDefaults() {
	c.Priority = Normal
	c.Deadline = DefaultDeadline
	c.QueueLimit = DefaultQueueLimit
	c.MaxAttempts = DefaultMaxAttempts
}

func (b *RetryBudget) setDefaults() {
	b.Percent = DefaultRetryPercent
	b.Burst = DefaultRetryBurst
}

func (l *Limits) setDefaults() {
	l.SessionsPerDaemon = DefaultSessionsPerDaemon
	l.MessageBytes = DefaultMessageBytes
	l.ResultBytes = DefaultResultBytes
	l.IdleInTransactionTimeout = DefaultIdleInTransactionTimeout
	l.DrainTime = DefaultDrainTime
}
