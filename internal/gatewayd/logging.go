package gatewayd

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	kvlog "github.com/buckthornshore/buckthornshore/internal/logging"
)

const (
	// maxLinesPerSecond bounds the log, and with it the processor time that logging takes.
	maxLinesPerSecond = 400
	// maxQueuedLines is how many lines may wait for the output. Further lines are dropped, so that
	// logging does not block.
	maxQueuedLines = 1000
)

// logging writes log lines without ever blocking the caller. Lines are queued, their number
// per second is bounded, and the number of dropped lines is itself logged.
type logging struct {
	log   *slog.Logger
	level *slog.LevelVar
	out   io.Writer
	lines chan []byte

	mu      sync.Mutex
	second  int64
	written int
	dropped int
}

func newLogging(s Settings) *logging {
	l := &logging{level: &slog.LevelVar{}, out: os.Stdout, lines: make(chan []byte, maxQueuedLines)}
	l.setLevel(s.LogLevel)
	l.log = slog.New(slog.NewTextHandler(l, kvlog.Options(l.level))).With("vm", s.VM)
	return l
}

func (l *logging) setLevel(text string) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(text)); err != nil {
		level = slog.LevelInfo
	}
	l.level.Set(level)
}

// Write implements io.Writer for one line.
func (l *logging) Write(line []byte) (int, error) {
	if !l.admit(time.Now().Unix()) {
		return len(line), nil
	}
	select {
	case l.lines <- bytes.Clone(line):
	default:
		l.countDropped()
	}
	return len(line), nil
}

func (l *logging) admit(second int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second, l.written = second, 0
	}
	if l.written >= maxLinesPerSecond {
		l.dropped++
		return false
	}
	l.written++
	return true
}

func (l *logging) countDropped() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped++
}

// run writes the queued lines until ctx ends.
func (l *logging) run(ctx context.Context) {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		case <-ctx.Done():
			return
		}
	}
}

func (l *logging) write(line []byte) {
	l.mu.Lock()
	dropped := l.dropped
	l.dropped = 0
	l.mu.Unlock()
	_, _ = l.out.Write(line) // An error of the log itself can't be reported.
	if dropped > 0 {
		l.log.Warn("event=log_lines_left_out", "count", dropped)
	}
}

// flush writes the queued lines when the daemon stops.
func (l *logging) flush() {
	for {
		select {
		case line := <-l.lines:
			l.write(line)
		default:
			return
		}
	}
}
