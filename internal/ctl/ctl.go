// Package ctl is the operators' command-line tool: it checks configuration
// files offline, and applies them and switches presets on the platform.
package ctl

import (
	"context"
	"io"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

const programName = "bts-ctl"

// Exit codes of Run.
const (
	ExitOK = 0
	// ExitRefused means that the command was refused, because of a conflict or an
	// error in it, and that nothing was changed.
	ExitRefused = 1
	ExitUsage   = 2
	// ExitUnavailable means that the platform or the daemon can't be reached and
	// that nothing was changed.
	ExitUnavailable = 3
	// ExitUnknown means that the change may have been made; the history shows
	// whether it was.
	ExitUnknown = 4
)

// tool is one run of the command-line tool.
type tool struct {
	args *arguments
	out  *output
}

// Run executes one command line and returns its exit code. Results are written
// to stdout, messages to stderr.
func Run(ctx context.Context, argv []string, stdout, stderr io.Writer) int {
	args, code, ok := parse(argv, stdout, stderr)
	if !ok {
		return code
	}
	t := &tool{args: args, out: &output{stdout: stdout, stderr: stderr, json: args.JSON}}
	err := t.run(ctx)
	if err != nil {
		t.out.failure(result.From(err))
	}
	return exitCode(err)
}

func (t *tool) run(ctx context.Context) error {
	a := t.args
	switch {
	case a.Check != nil:
		return t.check(a.Check)
	case a.Diff != nil:
		return t.diff(a.Diff)
	case a.Trace != nil:
		return t.trace(a.Trace)
	case a.Report != nil:
		return t.report(a.Report)
	case a.Customers != nil:
		return t.customers(ctx, a.Customers)
	case a.Targets != nil:
		return t.targets(ctx, a.Targets)
	case a.Completion != nil:
		return t.completion(a.Completion)
	}
	p, err := t.connect()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.Timeout.Std())
	defer cancel()
	switch {
	case a.Apply != nil:
		return p.apply(ctx, a.Apply)
	case a.History != nil:
		return p.history(ctx)
	case a.Rollback != nil:
		return p.rollback(ctx, a.Rollback)
	case a.Drain != nil:
		return p.drain(ctx, a.Drain)
	case a.Config != nil:
		return p.configStatus(ctx)
	case a.Status != nil:
		return p.status(ctx, a.Status)
	case a.Explain != nil:
		return p.explain(ctx, a.Explain)
	case a.Switchover != nil:
		return p.switchover(ctx, a.Switchover)
	case a.Preset.List != nil:
		return p.listPresets(ctx)
	case a.Preset.Show != nil:
		return p.showPreset(ctx)
	}
	return p.switchPreset(ctx, a.Preset.Switch)
}

func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	r := result.From(err)
	switch {
	case r.Code == result.BadArgument:
		return ExitUsage
	case r.Code == result.PlatformUnavailable, r.Code == result.PoolerUnreachable:
		return ExitUnavailable
	case r.Ran == result.Unknown:
		return ExitUnknown
	}
	return ExitRefused
}
