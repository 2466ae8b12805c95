package gatewayd

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/directory"
	"github.com/buckthornshore/buckthornshore/internal/forward"
	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/platform"
)

// The longest waits of watches. One on a connection that has gone silent is noticed that
// late: a configuration has to be in force within seconds, and a target that leaves gets
// work for some seconds more without harm.
const (
	longestConfigurationWatch = 2500 * time.Millisecond
	longestTargetWatch        = 4 * time.Second
	// longestConfigurationRest is how long a watch of the configuration rests after a change at most.
	// Changes that follow each other are then fetched together.
	longestConfigurationRest = 700 * time.Millisecond
	// coordinatorWatch is how long a coordinator's watches of what the operators and targets
	// write wait. A change ends the wait at once; the other VMs believe what it tells for two
	// seconds after an answer, so one of this length with a slow store's answer is in time.
	coordinatorWatch = 1200 * time.Millisecond
)

// configurationWatcher keeps the operators' configuration in force.
func (p *parts) configurationWatcher() *directory.Watcher {
	take := func(r metastore.Row, _ directory.Timing) bool {
		return r.Key == platform.ConfigurationKey && !r.Deleted && p.takeConfiguration(r)
	}
	return &directory.Watcher{
		Store: p.Store, Table: platform.OperatorTable, Clock: p.Clock, Log: p.Log, Change: take,
		Wait: func() time.Duration { return p.watchWait(longestConfigurationWatch) },
		Feed: directory.Configurations, Relay: p.Directory.Relay(),
		Neighbours: forward.Neighbours{Directory: p.Directory},
		Rest:       func() time.Duration { return min(p.Lead.WatchRest(), longestConfigurationRest) },
		All: func(rows []metastore.Row, at directory.Timing) bool {
			news := false
			for _, r := range rows {
				news = take(r, at) || news
			}
			return news
		},
	}
}

// watchWait is the wait of a watch. A coordinator's is short: the other VMs rely on it.
func (p *parts) watchWait(longest time.Duration) time.Duration {
	if p.Lead.Coordinates() {
		return coordinatorWatch
	}
	return p.Directory.WatchWait(longest)
}

// takeConfiguration reports whether the configuration is newer than the one in force.
func (p *parts) takeConfiguration(r metastore.Row) bool {
	c, err := platform.DecodeConfiguration(r.Value)
	if err != nil {
		p.Log.Error("event=configuration_malformed", "row_version", r.Version, "error", err, "outcome", "kept the one in force")
		return true // The other VMs look for themselves.
	}
	newer := p.Directory.SetConfiguration(c)
	if newer {
		p.Metrics.Configuration(c.Version)
		p.Customers.SetNamed(c.Customers.Largest(metrics.MaxNamedCustomers))
		p.Log.Info("event=configuration_in_force", "version", c.Version, "row_version", r.Version, "classes", len(c.Classes), "customers", c.Customers.Len(), "bytes", len(r.Value))
	}
	return newer
}

// targetWatcher follows the targets' registrations.
func (p *parts) targetWatcher() *directory.Watcher {
	return &directory.Watcher{
		Store: p.Store, Table: platform.TargetTable, Clock: p.Clock, Log: p.Log,
		Wait: func() time.Duration { return p.watchWait(longestTargetWatch) },
		Feed: directory.Registrations, Relay: p.Directory.Relay(),
		Rest: p.Lead.WatchRest,
		All: func(rows []metastore.Row, at directory.Timing) bool {
			news := false
			listed := map[string]bool{}
			for _, r := range rows {
				listed[r.Key] = true
				news = p.takeTarget(r, at) || news
			}
			gone := p.Directory.KeepRegistrations(listed)
			p.logUnregistered(gone)
			return news || len(gone) > 0
		},
		Change: p.takeTarget,
	}
}

func (p *parts) logUnregistered(ids []topology.TargetID) {
	for _, id := range ids {
		p.Log.Info("event=target_unregistered", "target", id)
	}
}

// takeTarget reports whether the registration says something new: most changes are
// heartbeats.
func (p *parts) takeTarget(r metastore.Row, at directory.Timing) bool {
	if r.Deleted {
		p.logUnregistered(p.Directory.RemoveRegistration(r.Key))
		return true
	}
	t, err := platform.DecodeTarget(r.Key, r.Value)
	if err != nil {
		// What was known of the database may be as wrong: nothing names it any more.
		gone := p.Directory.RemoveRegistration(r.Key)
		p.logUnregistered(gone)
		return p.Malformed.note(p.Log, r.Key, err) || len(gone) > 0 // The other VMs look for themselves.
	}
	p.Malformed.forget(r.Key)
	t.LeavingSince = at.After
	known, ok := p.Directory.Target(t.ID)
	changed := p.Directory.SetTarget(t)
	if changed {
		p.Log.Info("event=target_registered", "target", t.ID, "group", t.Group, "address", t.Address, "data_centre", t.DataCentre,
			"leaving", t.Leaving, "says_primary", t.SaysPrimary, "superseded", t.Superseded, "row_version", r.Version)
	}
	// Which one says that it leads concerns the VM alone that writes a group's first row, and that one
	// watches the store itself.
	known.SaysPrimary, known.LeavingSince = t.SaysPrimary, t.LeavingSince
	return changed && (!ok || known != t)
}

// reloads reads the settings file again on SIGHUP. The log level changes at once; the
// rest is told to need a restart.
func (p *parts) reloads(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			p.reload()
		case <-ctx.Done():
			return
		}
	}
}

func (p *parts) reload() {
	next, err := LoadSettings(string(p.File))
	if err != nil {
		p.Log.Error("event=reload_refused", "error", err, "outcome", "kept the settings in force")
		return
	}
	p.Logging.setLevel(next.LogLevel)
	p.Settings.LogLevel = next.LogLevel
	p.Log.Info("event=reloaded", "log_level", next.LogLevel, "needs_restart", p.differing(next))
}

// differing lists the settings that are not the ones in force.
func (p *parts) differing(next Settings) []string {
	var keys []string
	was, is := reflect.ValueOf(p.Settings), reflect.ValueOf(next)
	for i := range was.NumField() {
		if was.Field(i).Interface() != is.Field(i).Interface() {
			keys = append(keys, was.Type().Field(i).Tag.Get("json"))
		}
	}
	return keys
}
