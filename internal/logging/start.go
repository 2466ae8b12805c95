package logging

import (
	"log/slog"

	"go.uber.org/fx/fxevent"
)

// StartFailures logs why a daemon failed to start, which otherwise exits without a message. It
// ignores all other events of the fx container.
type StartFailures struct {
	Log *slog.Logger
	// Flush is called after the line is logged, since the process is about to exit. It is nil
	// if lines are written immediately.
	Flush func()
}

// LogEvent implements fxevent.Logger.
func (s StartFailures) LogEvent(event fxevent.Event) {
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
