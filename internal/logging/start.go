package logging

import (
	"log/slog"

	"go.uber.org/fx/fxevent"
)

// StartEvents shows why a daemon did not start, which would end without a word, and none of
// the container's other events.
type StartEvents struct {
	Log *slog.Logger
	// Flush is called after the line, since the process is about to end; nil: lines are
	// written at once.
	Flush func()
}

// LogEvent implements fxevent.Logger.
func (s StartEvents) LogEvent(event fxevent.Event) {
	var err error
	switch e := event.(type) {
	case *fxevent.Invoked:
		err = e.Err
	case *fxevent.OnStartExecuted:
		err = e.Err
	case *fxevent.Started:
		err = e.Err
	}
	if err == nil {
		return
	}
	s.Log.Error("event=start_failed", "error", err)
	if s.Flush != nil {
		s.Flush()
	}
}
