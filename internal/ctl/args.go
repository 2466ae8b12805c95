package ctl

import (
	"errors"
	"io"
	"time"

	"github.com/alexflint/go-arg"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// arguments holds the parsed command line.
type arguments struct {
	Check     *checkCommand     `arg:"subcommand:check" help:"check a configuration file, offline"`
	Diff      *diffCommand      `arg:"subcommand:diff" help:"tell what differs between two configuration files, offline"`
	Trace     *traceCommand     `arg:"subcommand:trace" help:"tell from daemons' logs why a request failed or was late, offline"`
	Report    *reportCommand    `arg:"subcommand:report" help:"tell from daemons' logs when requests were lost, of which class and why, offline"`
	Customers *customersCommand `arg:"subcommand:customers" help:"tell what customers ask for at bts-gateway daemons, from their metrics"`
	Targets   *targetsCommand   `arg:"subcommand:targets" help:"tell the load of targets at bts-gateway daemons, from their metrics"`
	Apply     *applyCommand     `arg:"subcommand:apply" help:"put a configuration file in force"`
	History   *historyCommand   `arg:"subcommand:history" help:"list the accepted configurations"`
	Rollback  *rollbackCommand  `arg:"subcommand:rollback" help:"put the content of an earlier version in force again"`
	Preset    *presetCommand    `arg:"subcommand:preset" help:"list, show or switch the preset in force"`

	Config     *configCommand     `arg:"subcommand:config" help:"what the daemons have in force"`
	Status     *statusCommand     `arg:"subcommand:status" help:"what one daemon knows: groups, targets, vms, sessions or config"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"tell where one daemon would send a request, and why"`
	Switchover *switchoverCommand `arg:"subcommand:switchover" help:"make a replica the primary; waits until it is"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"mark a target as leaving, in a new configuration version, or stop a daemon"`
	Completion *completionCommand `arg:"subcommand:completion" help:"write a completion script for bash"`

	Settings string `arg:"--settings" default:"bts-ctl.json" help:"settings file; not needed offline"`
	JSON     bool   `arg:"--json" help:"write JSON in place of a table"`
}

// Description returns the text that go-arg prints above the usage.
func (arguments) Description() string {
	return "bts-ctl checks and changes the configuration of buckthornshore.\n" +
		"Exit codes: 0 ok, 1 refused, 2 usage, 3 platform or daemon unavailable, 4 outcome unknown."
}

type checkCommand struct {
	File string `arg:"positional,required" help:"configuration file"`
}

type diffCommand struct {
	Old string `arg:"positional,required" help:"configuration file before"`
	New string `arg:"positional,required" help:"configuration file after"`
}

type traceCommand struct {
	Request string   `arg:"positional,required" help:"the request's id"`
	Files   []string `arg:"positional,required" help:"the logs of all daemons"`
}

type reportCommand struct {
	Window time.Duration `arg:"--window" default:"2s" help:"the length of time that is counted together"`
	Files  []string      `arg:"positional,required" help:"the logs of all daemons"`
}

type customersCommand struct {
	Why       string   `arg:"--why" placeholder:"CUSTOMER" help:"tell what one customer was refused, and why"`
	Addresses []string `arg:"positional,required" help:"the admin addresses of the daemons, ip:port"`
}

type targetsCommand struct {
	Addresses []string `arg:"positional,required" help:"the admin addresses of the daemons, ip:port"`
}

type applyCommand struct {
	File          string `arg:"positional,required" help:"configuration file"`
	ExpectVersion uint64 `arg:"--expect-version,required" help:"version that the file was made from; 0: the first"`
	ExpectChange  string `arg:"--expect-change" help:"change id of that version: refuse when the platform has given it to another change since"`
}

type historyCommand struct{}

type rollbackCommand struct {
	Version       uint64  `arg:"positional,required" help:"version whose content to take"`
	ExpectVersion *uint64 `arg:"--expect-version" help:"refuse when another version is in force [default: whichever is]"`
}

type presetCommand struct {
	List   *presetListCommand   `arg:"subcommand:list" help:"list the presets of the configuration in force"`
	Show   *presetShowCommand   `arg:"subcommand:show" help:"show the preset in force and who switched to it"`
	Switch *presetSwitchCommand `arg:"subcommand:switch" help:"put a preset in force"`
}

type configCommand struct {
	Status *configStatusCommand `arg:"subcommand:status" help:"which version each daemon has in force, and since when"`
}

type configStatusCommand struct{}

type statusCommand struct {
	Kind string `arg:"positional,required" help:"groups, targets, vms, sessions or config"`
}

type explainCommand struct {
	Service string `arg:"--service,required" help:"service"`
	Class   string `arg:"--class,required" help:"request class"`
	Group   string `arg:"--group" help:"group [default: that of the empty shard key]"`
	Floor   string `arg:"--floor" help:"term/index that a read must find"`
}

type switchoverCommand struct {
	Group string `arg:"positional,required" help:"group, as service/group"`
	To    string `arg:"--to" help:"replica [default: the first that holds every write]"`
}

type drainCommand struct {
	Target string `arg:"positional" help:"target"`
	VM     string `arg:"--vm" help:"daemon that is to stop, in place of a target"`
}

type completionCommand struct {
	Shell string `arg:"positional,required" help:"bash"`
}

type presetListCommand struct{}

type presetShowCommand struct{}

type presetSwitchCommand struct {
	Name          string  `arg:"positional,required" help:"preset"`
	ExpectVersion *uint64 `arg:"--expect-version" help:"refuse when another switch came first [default: the last one seen]"`
}

// parse parses the command line. It returns false, with the exit code, if the
// program is to exit: after printing help, or if the command line is wrong.
func parse(argv []string, stdout, stderr io.Writer) (*arguments, int, bool) {
	a := &arguments{}
	p, err := arg.NewParser(arg.Config{Program: programName, IgnoreEnv: true}, a)
	if err != nil {
		panic(err) // Only if the struct tags above are wrong, which any test finds.
	}
	err = p.Parse(argv)
	if errors.Is(err, arg.ErrHelp) {
		p.WriteHelp(stdout)
		return nil, ExitOK, false
	}
	if err == nil && !commandGiven(a) {
		err = errors.New("a command is missing")
	}
	if err != nil {
		p.WriteUsage(stderr)
		printLine(stderr, "%s: %v", programName, result.New(result.BadArgument, "%v", err))
		return nil, ExitUsage, false
	}
	return a, ExitOK, true
}

// commandGiven reports whether the command line has a command and, where one is
// required, its subcommand or exactly one of its arguments.
func commandGiven(a *arguments) bool {
	if a.Preset != nil {
		return a.Preset.List != nil || a.Preset.Show != nil || a.Preset.Switch != nil
	}
	if a.Config != nil {
		return a.Config.Status != nil
	}
	if a.Drain != nil {
		return (a.Drain.Target == "") != (a.Drain.VM == "")
	}
	daemonOrCompletion := a.Status != nil || a.Explain != nil || a.Switchover != nil || a.Completion != nil
	return daemonOrCompletion || a.Check != nil || a.Diff != nil || a.Trace != nil || a.Report != nil || a.Customers != nil || a.Targets != nil || a.Apply != nil || a.History != nil || a.Rollback != nil
}
