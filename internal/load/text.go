package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Column layout of the text tables.
const (
	tabMinWidth = 2
	tabPadding  = 2
)

func newTable(w io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(w, tabMinWidth, 0, tabPadding, ' ', 0)
}

// WriteText writes the report as plain text.
func (r *RunReport) WriteText(w io.Writer) error {
	fmt.Fprintf(w, "run %q: %v of load at %gx, warm-up %v, seed %d\n\n",
		r.Label, r.Loaded.Round(time.Millisecond), r.Multiplier, r.WarmUp, r.Seed)
	if err := r.writeClasses(w); err != nil {
		return err
	}
	r.writeCodes(w)
	r.writeShare(w)
	r.writeFaults(w)
	r.writeVerdicts(w)
	for _, note := range r.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
	return nil
}

func (r *RunReport) writeClasses(w io.Writer) error {
	t := newTable(w)
	fmt.Fprintln(t, "member\tclass\toffered\tcompleted\t/s\tnot run\tunknown\toverrun\tp50\tp90\tp99\tp99.9\tmax\twaited p99")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\n",
			c.Member, c.Class, c.Offered, c.Completed, c.PerSecond, c.NotRun, c.Unknown, c.Overrun,
			short(c.Latency.P50), short(c.Latency.P90), short(c.Latency.P99), short(c.Latency.P999), short(c.Latency.Max), short(c.Waited.P99))
	}
	return t.Flush()
}

// short formats a latency with about three significant digits.
func short(d time.Duration) string {
	switch {
	case d >= time.Second:
		return d.Round(10 * time.Millisecond).String()
	case d >= 10*time.Millisecond:
		return d.Round(100 * time.Microsecond).String()
	}
	return d.Round(10 * time.Microsecond).String()
}

func (r *RunReport) writeCodes(w io.Writer) {
	fmt.Fprintln(w, "\nresults")
	for _, c := range r.Classes {
		fmt.Fprintf(w, "  %s/%s:", c.Member, c.Class)
		for _, code := range slices.Sorted(maps.Keys(c.Codes)) {
			fmt.Fprintf(w, " %s=%d", code, c.Codes[code])
		}
		fmt.Fprintln(w)
	}
}

func (r *RunReport) writeShare(w io.Writer) {
	fmt.Fprintln(w, "\nreads served by replicas")
	if r.Share.Measured == 0 {
		fmt.Fprintln(w, "  not measured: no daemon's metrics could be read")
		return
	}
	fmt.Fprintf(w, "  (from the counters of %d of %d daemons)\n", r.Share.Measured, r.Share.Daemons)
	for _, c := range r.Share.Classes {
		if percent, ok := c.Percent(); ok {
			fmt.Fprintf(w, "  %s/%s: %.1f%% (%d of %d)\n", c.Member, c.Class, percent, c.Replica, c.Replica+c.Primary)
		}
	}
}

func (r *RunReport) writeFaults(w io.Writer) {
	if len(r.Faults) == 0 {
		return
	}
	fmt.Fprintln(w, "\nfaults")
	for _, f := range r.Faults {
		fmt.Fprintf(w, "  at %s: %s, hit %s", short(f.At), f.Fault, f.Hit)
		if f.Error != "" {
			fmt.Fprintf(w, ", FAILED: %s", f.Error)
		}
		fmt.Fprintln(w)
	}
	if len(r.Gaps) > 0 {
		fmt.Fprintln(w, "\ntime without a completed write")
	}
	for _, g := range r.Gaps {
		fmt.Fprintf(w, "  %s after %q: %s%s (longest before: %s); first refusal %s, first success %s\n",
			g.Group, g.Fault, short(g.Length), openMark(g), short(g.Usual), after(g.FirstRefusal), after(g.FirstSuccess))
	}
}

func openMark(g Gap) string {
	if g.Open {
		return " and still open at the end"
	}
	return ""
}

func after(d *time.Duration) string {
	if d == nil {
		return "never"
	}
	return "+" + short(*d)
}

func (r *RunReport) writeVerdicts(w io.Writer) {
	for _, m := range r.Verdicts {
		fmt.Fprintf(w, "\nchecks of %s\n", m.Member)
		for _, v := range m.Verdicts {
			v.write(w)
		}
	}
	if len(r.Verdicts) > 0 {
		fmt.Fprintf(w, "\nviolations: %d\n", r.Violations())
	}
}

func (v *Verdict) write(w io.Writer) {
	state := "ok"
	switch {
	case v.Count > 0:
		state = fmt.Sprintf("VIOLATED %d times", v.Count)
	case v.Checked == 0:
		state = "nothing to check"
	}
	fmt.Fprintf(w, "  %s: %s (%d checked) %s\n", v.Check, state, v.Checked, v.Unchecked)
	for _, violation := range v.Violations {
		fmt.Fprintf(w, "    %s\n", violation.What)
		for _, q := range violation.Requests {
			fmt.Fprintf(w, "      request %d of %s (%s) by %s: %s %s, value %d, sent %v, done %v, %s %s, %d attempts\n",
				q.ID, q.Session, q.Class, q.Proxy, q.Operation, q.Key, q.Value, q.Sent, q.Done, q.Outcome, q.Code, q.Attempts)
		}
	}
}
