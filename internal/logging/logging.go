// Package logging makes the programs' logger: one line of key=value pairs for
// each event.
package logging

import (
	"io"
	"log/slog"
)

// New returns a logger that writes to w and names the program in each line.
func New(w io.Writer, program, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: l})).With("program", program)
}
