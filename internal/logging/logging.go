// Package logging makes the programs' logger: one line of key=value pairs for
// each event.
package logging

import (
	"io"
	"log/slog"
	"strings"
)

// New returns a logger that writes to w and names the program in each line.
func New(w io.Writer, program, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(w, Options(l))).With("program", program)
}

// eventPrefix begins a message that names its event.
const eventPrefix = "event="

// Options have a message "event=name" written as that pair, and an error as its text alone. An
// error that carries its stack is otherwise written with it: three kilobytes a line, in the
// seconds in which most lines come.
func Options(level slog.Leveler) *slog.HandlerOptions {
	return &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if err, ok := a.Value.Any().(error); ok {
			return slog.String(a.Key, err.Error())
		}
		if name, ok := strings.CutPrefix(a.Value.String(), eventPrefix); ok && a.Key == slog.MessageKey && len(groups) == 0 {
			return slog.String("event", name)
		}
		return a
	}}
}
