// Package logging provides the programs' logger, which writes one line of key=value
// pairs per event.
package logging

import (
	"crypto/sha256"
	"fmt"
	"io"
	"log/slog"
	"strings"
)

// New returns a logger that writes to w and adds the program's name to each line. An
// invalid level means info.
func New(w io.Writer, program, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, Options(l))).With("program", program)
}

const (
	// maxValueBytes is the length in bytes beyond which a value is cut: callers choose ids and names of up to a message's
	// length, and many lines may wait for the output.
	maxValueBytes = 1024
	// keptBytes is how much is kept of a longer value.
	keptBytes = 256
)

// Value returns a text as a line shows it: a long one is cut, and named by its length and its whole SHA-256 digest.
func Value(text string) string {
	if len(text) <= maxValueBytes {
		return text
	}
	return fmt.Sprintf("%s...(%d bytes, sha256 %x)", text[:keptBytes], len(text), sha256.Sum256([]byte(text)))
}

// eventPrefix is the prefix of a message that names an event.
const eventPrefix = "event="

// Options returns handler options that write a message "event=name" as that pair, a text as Value does, and an error as
// its text only. Otherwise an error with a stack trace is written with the trace, about three
// kilobytes per line, at the times when most lines are logged.
func Options(level slog.Leveler) *slog.HandlerOptions {
	return &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if err, ok := a.Value.Any().(error); ok {
			return slog.String(a.Key, Value(err.Error()))
		}
		if name, ok := strings.CutPrefix(a.Value.String(), eventPrefix); ok && a.Key == slog.MessageKey && len(groups) == 0 {
			return slog.String("event", name)
		}
		if a.Value.Kind() == slog.KindString {
			a.Value = slog.StringValue(Value(a.Value.String()))
		}
		return a
	}}
}
