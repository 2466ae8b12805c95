package capacity

import (
	"fmt"
	"io"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// Plan holds the sizes, durations and repeats of the measurements.
type Plan struct {
	Repeats int
	Window  time.Duration
	// GroupsPerDaemon and Daemons are the sizes of the two sweeps over idle deployments.
	GroupsPerDaemon, Daemons []int
	// Sessions are the numbers of idle sessions, in ascending order.
	Sessions []int
}

// DefaultPlan returns the plan of the measurements in docs/CAPACITY.md.
func DefaultPlan() Plan {
	return Plan{
		Repeats:         3,
		Window:          6 * time.Second,
		GroupsPerDaemon: []int{1, 3, 10, 30},
		Daemons:         []int{6, 12, 24},
		Sessions:        []int{0, 500, 1000, 2000},
	}
}

// QuickPlan returns a plan that tries the tool out at small sizes; its figures are not
// representative.
func QuickPlan() Plan {
	return Plan{
		Repeats:         1,
		Window:          2 * time.Second,
		GroupsPerDaemon: []int{1, 3},
		Daemons:         []int{3, 6},
		Sessions:        []int{0, 50, 100},
	}
}

// daemonsOfGroupSweep is the number of daemons in the sweep over groups.
const daemonsOfGroupSweep = 6

// figure is a value of an IdleCost that the tables show, with its name there.
type figure struct {
	name  string
	value func(IdleCost) float64
}

var figures = []figure{
	{"core, %", func(r IdleCost) float64 { return r.Core * 100 }},
	{"memory, MB", func(r IdleCost) float64 { return r.RSS / 1e6 }},
	{"peers, B/s", func(r IdleCost) float64 { return r.Traffic[metrics.ServicePeers] }},
	{"platform, B/s", func(r IdleCost) float64 { return r.Traffic[metrics.ServicePlatform] }},
	{"targets, B/s", func(r IdleCost) float64 { return r.Traffic[metrics.ServiceTargets] }},
	{"platform reads/s of all", func(r IdleCost) float64 { return r.Reads }},
	{"platform writes/s of all", func(r IdleCost) float64 { return r.Writes }},
}

// measurement is an IdleCost measured at a size.
type measurement struct {
	size float64
	idle IdleCost
}

// ReportGroups measures idle daemons with each number of groups per daemon.
func ReportGroups(out io.Writer, p Programs, plan Plan) error {
	return sweep(out, p, plan, "groups a daemon (6 daemons)", plan.GroupsPerDaemon, func(n int) Shape {
		return Shape{Daemons: daemonsOfGroupSweep, Groups: n * daemonsOfGroupSweep}
	})
}

// ReportDaemons measures idle deployments of each number of daemons, with one group per
// daemon.
func ReportDaemons(out io.Writer, p Programs, plan Plan) error {
	return sweep(out, p, plan, "daemons (1 group a daemon)", plan.Daemons, func(n int) Shape {
		return Shape{Daemons: n, Groups: n}
	})
}

func sweep(out io.Writer, p Programs, plan Plan, what string, sizes []int, shape func(int) Shape) error {
	var points []measurement
	for range plan.Repeats {
		for _, n := range sizes {
			r, err := MeasureIdle(p, shape(n), plan.Window)
			if err != nil {
				return err
			}
			points = append(points, measurement{float64(n), r})
		}
	}
	fmt.Fprintf(out, "\nat rest against %s, a daemon; median (least to greatest) of %d\n\n", what, plan.Repeats)
	fmt.Fprint(out, "| |")
	for _, n := range sizes {
		fmt.Fprintf(out, " %d |", n)
	}
	fmt.Fprint(out, " base | slope |\n|---|")
	for range len(sizes) + 2 {
		fmt.Fprint(out, "---|")
	}
	fmt.Fprintln(out)
	for _, f := range figures {
		writeRow(out, f, sizes, points)
	}
	return nil
}

func writeRow(out io.Writer, f figure, sizes []int, points []measurement) {
	fmt.Fprintf(out, "| %s |", f.name)
	for _, n := range sizes {
		var values []float64
		for _, p := range points {
			if p.size == float64(n) {
				values = append(values, f.value(p.idle))
			}
		}
		s := SpreadOf(values)
		fmt.Fprintf(out, " %.4g (%.4g to %.4g) |", s.Median, s.Least, s.Greatest)
	}
	var fitted []Point
	for _, p := range points {
		fitted = append(fitted, Point{p.size, f.value(p.idle)})
	}
	line := Fit(fitted)
	fmt.Fprintf(out, " %.4g | %.4g |\n", line.Base, line.Slope)
}

// ReportPlanned measures one idle daemon in a deployment of the planned size.
func ReportPlanned(out io.Writer, p Programs, plan Plan) error {
	var results []IdleCost
	for range plan.Repeats {
		r, err := MeasurePlanned(p, plan.Window)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	fmt.Fprintf(out, "\none daemon that knows 14,001 targets, 4,667 rows and 3,900 VMs; median (least to greatest) of %d\n\n| | |\n|---|---|\n", plan.Repeats)
	for _, f := range figures {
		var values []float64
		for _, r := range results {
			values = append(values, f.value(r))
		}
		s := SpreadOf(values)
		fmt.Fprintf(out, "| %s | %.4g (%.4g to %.4g) |\n", f.name, s.Median, s.Least, s.Greatest)
	}
	return nil
}

// ReportSessions measures the memory of an idle session.
func ReportSessions(out io.Writer, p Programs, plan Plan) error {
	var all []Point
	var slopes []float64
	for range plan.Repeats {
		points, err := MeasureSessions(p, plan.Sessions)
		if err != nil {
			return err
		}
		all = append(all, points...)
		slopes = append(slopes, Fit(points).Slope)
	}
	line, s := Fit(all), SpreadOf(slopes)
	fmt.Fprintf(out, "\nidle sessions %v: %.1f MB + %.2f KB a session (slopes of the repeats %.2f to %.2f KB)\n",
		plan.Sessions, line.Base/1e6, line.Slope/1e3, s.Least/1e3, s.Greatest/1e3)
	return nil
}

// ReportStatements measures the processor time and the added latency of reads and
// writes.
func ReportStatements(out io.Writer, p Programs, plan Plan) error {
	for _, kind := range []config.Kind{config.Read, config.Write} {
		runs, err := MeasureStatements(p, kind, plan.Repeats+2, plan.Window/2)
		if err != nil {
			return err
		}
		var core, added []float64
		for _, s := range runs {
			core = append(core, float64(s.Core.Nanoseconds())/1e3)
			added = append(added, float64((s.Latency-s.Direct).Nanoseconds())/1e3)
		}
		c, a := SpreadOf(core), SpreadOf(added)
		fmt.Fprintf(out, "\na %s, %d pairs: %.0f us of processor time (%.0f to %.0f); %.0f us longer than direct (%.0f to %.0f)\n",
			kind, len(runs), c.Median, c.Least, c.Greatest, a.Median, a.Least, a.Greatest)
	}
	return nil
}
