package database

import (
	"log/slog"
	"time"
)

// Config holds the settings of a database.
type Config struct {
	ID               string
	DataCentre       string
	Slots            int           // maximum number of concurrent statements
	Connections      int           // maximum number of concurrent ordinary connections
	ConnectTime      time.Duration // delay added to the set-up of a connection
	StatementTime    time.Duration // how long a statement holds its slot
	ReplicationDelay time.Duration // from the receipt of an entry until it is applied
	DataFile         string        // path of the file that persists log, term and role; empty for none
	Log              *slog.Logger
}

// withDefaults sets the fields that must not be zero.
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
