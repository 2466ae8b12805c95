package config

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Duration is encoded with its unit, in the format of time.Duration: "250ms", "2s".
type Duration time.Duration

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats the duration with its unit.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON encodes the duration in the format that UnmarshalJSON decodes.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON decodes a quoted duration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Wrap(err, "duration")
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Wrap(err, "duration")
	}
	*d = Duration(v)
	return nil
}

// enum is a string type with a fixed set of values.
type enum interface{ allowed() []string }

// Kind determines whether requests of a class may write.
type Kind string

// The kinds of classes.
const (
	Read  Kind = "read"
	Write Kind = "write"
)

func (Kind) allowed() []string { return []string{string(Read), string(Write)} }

// Priority orders classes that wait for the same target.
type Priority string

// The priorities, most urgent first.
const (
	Urgent     Priority = "urgent"
	Normal     Priority = "normal"
	Background Priority = "background"
)

func (Priority) allowed() []string {
	return []string{string(Urgent), string(Normal), string(Background)}
}

// Rank returns 0 for the most urgent priority and more for each less urgent one.
func (p Priority) Rank() int {
	for rank, name := range p.allowed() {
		if string(p) == name {
			return rank
		}
	}
	return len(p.allowed())
}
