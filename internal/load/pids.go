package load

import (
	"os"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Processes maps the names of the processes that faults may signal to their ids.
// The tool signals no other process and starts none.
type Processes map[string]int

// lowestPID is the lowest process id that a pid file may hold, so that a damaged
// file can't name init (1), the tool's own process group (0) or every process (-1).
const lowestPID = 2

// ReadProcesses reads a pid file: one name=pid a line.
func ReadProcesses(path string) (Processes, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "pid file")
	}
	p := Processes{}
	for line := range strings.Lines(string(raw)) {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		name, text, _ := strings.Cut(line, "=")
		pid, err := strconv.Atoi(text)
		if err != nil || pid < lowestPID {
			return nil, invalid("pid file: %q is not name=pid", line)
		}
		p[name] = pid
	}
	return p, nil
}

var signals = map[Action]syscall.Signal{
	Kill:      syscall.SIGKILL,
	Freeze:    syscall.SIGSTOP,
	Thaw:      syscall.SIGCONT,
	Terminate: syscall.SIGTERM,
}

// Signal sends the signal of the action to the named process.
func (p Processes) Signal(name string, a Action) error {
	pid, ok := p[name]
	if !ok {
		return invalid("the pid file has no %q", name)
	}
	return errors.Wrapf(syscall.Kill(pid, signals[a]), "%s %s", a, name)
}
