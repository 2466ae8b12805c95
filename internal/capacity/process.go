package capacity

import (
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// clockTick is the unit of processor time in /proc/<pid>/stat: 1/100 s on every Linux
// that Go runs on.
const clockTick = 10 * time.Millisecond

// Indexes of the fields of /proc/<pid>/stat that follow the command's closing
// parenthesis.
const (
	fieldUser   = 11
	fieldSystem = 12
)

// process is a child process of this program; no other processes are killed.
type process struct{ cmd *exec.Cmd }

func start(dir, name, program string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, name+".log"))
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout = log
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, name)
	}
	return &process{cmd}, nil
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait() // The error only reports the signal.
}

// cpu returns the processor time used so far.
func (p *process) cpu() (time.Duration, error) {
	raw, err := os.ReadFile(p.proc("stat"))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystem {
		return 0, errors.Newf("too few fields in %q", raw)
	}
	user, err := strconv.Atoi(fields[fieldUser])
	if err != nil {
		return 0, err
	}
	system, err := strconv.Atoi(fields[fieldSystem])
	return time.Duration(user+system) * clockTick, err
}

// rss returns the resident memory in bytes.
func (p *process) rss() (float64, error) {
	raw, err := os.ReadFile(p.proc("status"))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kib, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return float64(kib) * 1024, err
		}
	}
	return 0, errors.New("no VmRSS line in the process status")
}

func (p *process) proc(file string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), file)
}
