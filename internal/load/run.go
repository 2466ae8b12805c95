package load

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
)

// Options of a run.
type Options struct {
	Config    *config.View
	Profiles  []Profile
	Processes Processes
	// Label names the run in comparisons.
	Label string
	// HistoryFile is the file that the history is written to, one JSON object a
	// line; empty for none.
	HistoryFile string
	// Live receives a line of progress every second.
	Live io.Writer
	Log  *slog.Logger
}

// run is the state of a run.
type run struct {
	o       Options
	id      string
	begun   time.Time
	stats   *stats
	history *History
	loads   []*memberLoad
}

// Run generates the load, injects the faults, reads the rows back and checks the
// history. The first profile's duration and warm-up apply to all profiles.
func Run(ctx context.Context, o Options) (*RunReport, error) {
	for i := range o.Profiles {
		o.Profiles[i].Duration = o.Profiles[0].Duration
		o.Profiles[i].WarmUp = o.Profiles[0].WarmUp
		if err := o.Profiles[i].Check(o.Config); err != nil {
			return nil, err
		}
	}
	now := time.Now()
	r := &run{
		o:       o,
		id:      "r" + strconv.FormatInt(now.Unix(), 36),
		stats:   newStats(o.Profiles[0].WarmUp.Std()),
		history: &History{},
	}
	for i := range o.Profiles {
		r.loads = append(r.loads, newMemberLoad(r, &o.Profiles[i]))
	}
	for _, m := range r.loads {
		if err := m.insertCounters(ctx); err != nil {
			return nil, err
		}
	}
	before := scrapeAll(ctx, o.Profiles)
	r.begun = time.Now()
	injector := newInjector(o, r.elapsed)
	r.offer(ctx, injector)
	loaded := r.elapsed()
	after := scrapeAll(ctx, o.Profiles)
	return r.finish(ctx, injector, loaded, replicaShare(before, after))
}

// elapsed returns the time since the start of the run, as used in all records.
func (r *run) elapsed() time.Duration { return time.Since(r.begun) }

// offer runs the load and the faults until the duration has passed and every
// request has been answered.
func (r *run) offer(ctx context.Context, i *injector) {
	loadCtx, cancel := context.WithTimeout(ctx, r.o.Profiles[0].Duration.Std())
	defer cancel()
	var wait sync.WaitGroup
	for _, m := range r.loads {
		wait.Add(1)
		go func() {
			defer wait.Done()
			m.offer(loadCtx)
		}()
	}
	watchCtx, stop := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for _, watch := range []func(){
		func() { i.run(watchCtx, r.faults()) },
		func() { r.watch(watchCtx) },
	} {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			watch()
		}()
	}
	wait.Wait()
	// Faults that would be undone after the end of the load are undone now, so
	// that the rows can be read back.
	stop()
	watchers.Wait()
	i.undo(ctx, r.faults())
}

func (r *run) faults() []Fault {
	var all []Fault
	for _, p := range r.o.Profiles {
		all = append(all, p.Faults...)
	}
	return all
}

// watch prints a line with counts every second.
func (r *run) watch(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			counts, slowest := r.stats.takeLive()
			fmt.Fprintf(r.o.Live, "t=%3.0fs completed=%d not_run=%d unknown=%d slowest=%v\n",
				r.elapsed().Seconds(), counts[Completed], counts[NotRun], counts[Unknown], slowest.Round(time.Millisecond))
		case <-ctx.Done():
			return
		}
	}
}

func (r *run) finish(ctx context.Context, i *injector, loaded time.Duration, share ReplicaShare) (*RunReport, error) {
	records, complete := r.history.Records()
	if r.o.HistoryFile != "" {
		if err := WriteHistory(r.o.HistoryFile, records); err != nil {
			return nil, err
		}
	}
	report := r.report(i.performed(), loaded, share)
	if !complete {
		report.Notes = append(report.Notes, "the history was truncated; nothing was checked")
		return report, nil
	}
	for _, m := range r.loads {
		verdicts := CheckHistory(recordsOf(records, m.profile.Member), m.readBack(ctx), m.profile.LinearKeys)
		report.Verdicts = append(report.Verdicts, MemberVerdicts{Member: m.profile.Member, Verdicts: verdicts})
		m.close()
	}
	return report, nil
}

func recordsOf(records []Record, member string) []Record {
	var out []Record
	for _, r := range records {
		if r.Member == member {
			out = append(out, r)
		}
	}
	return out
}
