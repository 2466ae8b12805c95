// Command bts-measure measures the resource use of a daemon; docs/CAPACITY.md
// quotes its tables. It starts the other programs of its own directory on
// loopback and terminates them afterwards.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/alexflint/go-arg"

	"github.com/buckthornshore/buckthornshore/internal/capacity"
	"github.com/buckthornshore/buckthornshore/internal/logging"
	"github.com/buckthornshore/buckthornshore/pkg/config"
)

type databasesArgs struct {
	Document string `arg:"positional,required" help:"configuration document; each of its targets is run"`
}

type runArgs struct {
	Parts   []string `arg:"positional" help:"groups, daemons, planned, sessions, statements; all without any"`
	Repeats int      `arg:"--repeats" default:"3" help:"of each measurement"`
	Quick   bool     `arg:"--quick" help:"small sizes, to try the tool out"`
}

type args struct {
	Run       *runArgs       `arg:"subcommand:run" help:"measure and print tables"`
	Databases *databasesArgs `arg:"subcommand:databases" help:"host stand-in databases in this process"`
}

// measurement is one measurement and the function that prints its table.
type measurement struct {
	name   string
	report func(io.Writer, capacity.Programs, capacity.Plan) error
}

var measurements = []measurement{
	{"groups", capacity.ReportGroups},
	{"daemons", capacity.ReportDaemons},
	{"planned", capacity.ReportPlanned},
	{"sessions", capacity.ReportSessions},
	{"statements", capacity.ReportStatements},
}

func main() {
	var a args
	parser := arg.MustParse(&a)
	var err error
	switch {
	case a.Run != nil:
		err = run(a.Run)
	case a.Databases != nil:
		err = hostDatabases(a.Databases.Document)
	default:
		parser.Fail("a subcommand is needed")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func hostDatabases(file string) error {
	raw, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	doc, problems := config.Parse(file, raw)
	if err := config.Err(problems); err != nil {
		return err
	}
	if err := capacity.HostDatabases(doc, logging.New(os.Stderr, "databases", "warn")); err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}

func run(a *runArgs) error {
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	workDir, err := os.MkdirTemp("", "bts-measure")
	if err != nil {
		return err
	}
	plan := capacity.DefaultPlan()
	if a.Quick {
		plan = capacity.QuickPlan()
	}
	plan.Repeats = a.Repeats
	programs := capacity.Programs{Dir: filepath.Dir(executable), Work: workDir}
	for _, m := range measurements {
		if !selected(a.Parts, m.name) {
			continue
		}
		if err := m.report(os.Stdout, programs, plan); err != nil {
			return fmt.Errorf("measuring %s (logs in %s): %w", m.name, workDir, err)
		}
	}
	return os.RemoveAll(workDir)
}

// selected reports whether names contains name or is empty.
func selected(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return len(names) == 0
}
