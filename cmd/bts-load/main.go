// Command bts-load generates the workload of a member against the proxies,
// injects faults, checks the results that callers received and writes a report.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/buckthornshore/buckthornshore/internal/load"
	"github.com/buckthornshore/buckthornshore/internal/logging"
	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/config"
)

type runArgs struct {
	Config     string        `arg:"--config,required" help:"configuration document"`
	Preset     string        `arg:"--preset" default:"ordinary" help:"preset in force"`
	Profiles   []string      `arg:"--profile,separate,required" help:"profile of a member's workload; may be given again"`
	Duration   time.Duration `arg:"--duration" help:"replaces the profiles' duration"`
	Multiplier float64       `arg:"--multiplier" help:"replaces the profiles' multiplier"`
	Seed       uint64        `arg:"--seed" help:"replaces the profiles' seed"`
	Faults     []string      `arg:"--fault,separate" help:"at,action,target,value,for; added to the profiles' faults"`
	Pids       string        `arg:"--pids" help:"file of name=pid lines: the processes that faults may signal"`
	Label      string        `arg:"--label" default:"run" help:"names the run in comparisons"`
	History    string        `arg:"--history" help:"file for the history, JSON lines"`
	JSON       string        `arg:"--json" help:"file for the report as JSON"`
	HTML       string        `arg:"--html" help:"file for the report as one page"`
	LogLevel   string        `arg:"--log-level" default:"info" help:"debug, info, warn or error"`
}

type compareArgs struct {
	Reports []string `arg:"positional,required" help:"reports as JSON; the first one's label is the base"`
}

type args struct {
	Run     *runArgs     `arg:"subcommand:run" help:"offer load and report"`
	Compare *compareArgs `arg:"subcommand:compare" help:"print medians and ratios of reports"`
}

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitViolated = 3
)

func main() {
	var a args
	parser := arg.MustParse(&a)
	var code int
	var err error
	switch {
	case a.Run != nil:
		code, err = run(a.Run)
	case a.Compare != nil:
		code, err = compare(a.Compare)
	default:
		parser.WriteHelp(os.Stderr)
		os.Exit(exitUsage)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(code)
}

func run(a *runArgs) (int, error) {
	o, err := options(a)
	if err != nil {
		return exitUsage, err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := load.Run(ctx, o)
	if err != nil {
		return exitFailed, err
	}
	if err := writeReport(report, a); err != nil {
		return exitFailed, err
	}
	if report.Violations() > 0 {
		return exitViolated, nil
	}
	return 0, nil
}

func options(a *runArgs) (load.Options, error) {
	o := load.Options{
		Label:       a.Label,
		HistoryFile: a.History,
		Live:        os.Stdout,
		Log:         logging.New(os.Stderr, "bts-load", a.LogLevel),
	}
	raw, err := os.ReadFile(a.Config)
	if err != nil {
		return o, err
	}
	doc, problems := config.Parse(a.Config, raw)
	if err := config.Err(problems); err != nil {
		return o, err
	}
	if o.Config, err = config.Effective(doc, a.Preset); err != nil {
		return o, err
	}
	if a.Pids != "" {
		if o.Processes, err = load.ReadProcesses(a.Pids); err != nil {
			return o, err
		}
	}
	for _, path := range a.Profiles {
		p, err := load.ReadProfile(path)
		if err != nil {
			return o, err
		}
		a.override(&p)
		o.Profiles = append(o.Profiles, p)
	}
	return o, addFaults(a, &o.Profiles[0])
}

func (a *runArgs) override(p *load.Profile) {
	if a.Duration > 0 {
		p.Duration = settings.Duration(a.Duration)
	}
	if a.Multiplier > 0 {
		p.Multiplier = a.Multiplier
	}
	if a.Seed > 0 {
		p.Seed = a.Seed
	}
}

func addFaults(a *runArgs, p *load.Profile) error {
	for _, text := range a.Faults {
		f, err := load.ParseFault(text)
		if err != nil {
			return err
		}
		p.Faults = append(p.Faults, f)
	}
	return nil
}

func writeReport(r *load.RunReport, a *runArgs) error {
	if err := r.WriteText(os.Stdout); err != nil {
		return err
	}
	if a.JSON != "" {
		if err := r.WriteJSON(a.JSON); err != nil {
			return err
		}
	}
	if a.HTML == "" {
		return nil
	}
	return r.WriteHTML(a.HTML)
}

func compare(a *compareArgs) (int, error) {
	var reports []*load.RunReport
	for _, path := range a.Reports {
		r, err := load.ReadReport(path)
		if err != nil {
			return exitFailed, err
		}
		reports = append(reports, r)
	}
	if err := load.Compare(os.Stdout, reports); err != nil {
		return exitFailed, err
	}
	return 0, nil
}
