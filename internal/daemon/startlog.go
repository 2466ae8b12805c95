package daemon

import (
	"log/slog"

	"go.uber.org/fx/fxevent"
)

// startLog shows why a daemon did not start, which would end without a word, and
// none of the container's other events.
type startLog struct{ log *slog.Logger }

func newStartLog(log *slog.Logger) fxevent.Logger { return startLog{log} }

// LogEvent implements fxevent.Logger.
func (l startLog) LogEvent(event fxevent.Event) {
	var err error
	switch e := event.(type) {
	case *fxevent.Invoked:
		err = e.Err
	case *fxevent.OnStartExecuted:
		err = e.Err
	case *fxevent.Started:
		err = e.Err
	}
	if err != nil {
		l.log.Error("event=start_failed", "error", err)
	}
}
