package database

import (
	"log/slog"
	"time"
)

// Config says how a database behaves.
type Config struct {
	ID               string
	DataCentre       string
	Slots            int           // statements that run at once
	Connections      int           // ordinary connections at once
	ConnectTime      time.Duration // what a new connection costs
	StatementTime    time.Duration // how long a statement holds its slot
	ReplicationDelay time.Duration // between receipt and applying of an entry
	DataFile         string        // keeps log, term and role over a restart; may be empty
	Log              *slog.Logger
}

// withDefaults fills in what must not be zero.
func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = 2
	}
	if c.Connections <= 0 {
		c.Connections = 16
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	return c
}
