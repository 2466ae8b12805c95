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
	"github.com/buckthornshore/buckthornshore/platform"
)

// The longest waits of watches. If the connection of a watch has gone silent, this is noticed only
// after the wait. A configuration must be in force within seconds; that a leaving target is sent work
// for some more seconds does no harm.
const (
	longestConfigurationWatch = 2500 * time.Millisecond
	longestTargetWatch        = 4 * time.Second
	// longestConfigurationDelay is the longest pause of the configuration's watch after a change, so
	// that changes in close succession are fetched together.
	longestConfigurationDelay = 700 * time.Millisecond
	// coordinatorWatch is how long a coordinator's watches of the configuration and of the
	// registrations wait. A change ends the wait at once. The other VMs trust what the coordinator
	// distributes for two seconds after an answer of the store, so a wait of this length is in time
	// even if the store answers slowly.
	coordinatorWatch = 1200 * time.Millisecond
)

// configurationWatcher returns the watcher that puts the operators' configuration in force.
func (d *daemon) configurationWatcher() *directory.Watcher {
	apply := func(r metastore.Row) configurationOutcome {
		if r.Key != platform.ConfigurationKey || r.Deleted {
			return configurationIgnored
		}
		return d.applyConfiguration(r)
	}
	return &directory.Watcher{
		Store: d.Store, Table: platform.OperatorTable, Clock: d.Clock, Log: d.Log,
		Wait: func() time.Duration { return d.watchWait(longestConfigurationWatch) },
		Feed: directory.Configurations, Relay: d.Directory.Relay(),
		Neighbours:  forward.Neighbours{Directory: d.Directory},
		Peers:       d.Seeds,
		PassOn:      d.Kept.passOn,
		ChangeDelay: func() time.Duration { return min(d.Lead.WatchDelay(), longestConfigurationDelay) },
		All: func(rows []metastore.Row, _ directory.Timing) bool {
			changed := false
			for _, r := range rows {
				changed = apply(r) >= configurationInForce || changed
			}
			return changed
		},
		// A configuration that is written again after the store has lost it is news to VMs that have
		// started meanwhile.
		Change: func(r metastore.Row, _ directory.Timing) bool { return apply(r) >= configurationKnown },
	}
}

// watchWait returns how long a watch waits. A coordinator's wait is short, because the other VMs rely on it.
func (d *daemon) watchWait(longest time.Duration) time.Duration {
	if d.Lead.Coordinates() {
		return coordinatorWatch
	}
	return d.Directory.WatchWait(longest)
}

// configurationOutcome is what became of a configuration that was read.
type configurationOutcome int

// The outcomes, those that matter more to other VMs last.
const (
	configurationIgnored   configurationOutcome = iota // Not a configuration, or older than the one in force.
	configurationKnown                                 // The one in force.
	configurationInForce                               // Put in force now.
	configurationMalformed                             // The other VMs decode it themselves.
)

// applyConfiguration puts a configuration in force if it is newer.
func (d *daemon) applyConfiguration(r metastore.Row) configurationOutcome {
	c, err := platform.DecodeConfiguration(r.Value)
	if err != nil {
		d.Log.Error("event=configuration_malformed", "row_version", r.Version, "error", err, "outcome", "kept the configuration in force")
		return configurationMalformed
	}
	newer := d.Directory.SetConfiguration(c)
	lost := d.Kept.read(r, c.Version)
	d.Directory.Relay().SetKept(directory.Configurations, lost)
	switch {
	case lost != 0:
		d.Log.Warn("event=configuration_older", "version", c.Version, "row_version", r.Version, "in_force", lost, "outcome", "kept the configuration in force")
		return configurationIgnored
	case !newer:
		return configurationKnown
	}
	d.Metrics.Configuration(c.Version)
	d.Customers.SetNamed(c.Customers.Largest(metrics.MaxNamedCustomers))
	d.Log.Info("event=configuration_in_force", "version", c.Version, "row_version", r.Version, "classes", len(c.Classes), "customers", c.Customers.Len(), "bytes", len(r.Value))
	return configurationInForce
}

// targetWatcher returns the watcher of the targets' registrations.
func (d *daemon) targetWatcher() *directory.Watcher {
	return &directory.Watcher{
		Store: d.Store, Table: platform.TargetTable, Clock: d.Clock, Log: d.Log,
		Wait: func() time.Duration { return d.watchWait(longestTargetWatch) },
		Feed: directory.Registrations, Relay: d.Directory.Relay(), Peers: d.Seeds,
		ChangeDelay: d.Lead.WatchDelay,
		All: func(rows []metastore.Row, at directory.Timing) bool {
			changed := false
			listed := map[string]bool{}
			for _, r := range rows {
				listed[r.Key] = true
				changed = d.applyTarget(r, at) || changed
			}
			return d.removeUnlisted(listed, at) || changed
		},
		// The first entry that a database writes after a restoration of the store is news to VMs that have
		// started meanwhile, and have read an older one.
		Change: func(r metastore.Row, at directory.Timing) bool {
			changed := d.applyTarget(r, at)
			return d.Unconfirmed.confirm(r.Key) || changed
		},
	}
}

// applyTarget applies a change of a registration, and reports whether it contains something
// new: most changes are heartbeats.
func (d *daemon) applyTarget(r metastore.Row, at directory.Timing) bool {
	if r.Deleted {
		d.Malformed.forget(r.Key)
		d.logUnregistered(d.Directory.RemoveRegistration(r.Key), "removed")
		return true
	}
	t, err := platform.DecodeTarget(r.Key, r.Value)
	if err != nil {
		// The earlier registration may be wrong as well, so the database is no longer registered.
		gone := d.Directory.RemoveRegistration(r.Key)
		d.logUnregistered(gone, "malformed")
		return d.Malformed.report(d.Log, r.Key, err) || len(gone) > 0 // The other VMs decode it themselves.
	}
	d.Malformed.forget(r.Key)
	t.LeavingSince = at.WrittenAfter
	known, ok := d.Directory.Target(t.ID)
	if at.Restored && known.Leaving && !t.Leaving {
		// The entry is from before the target began to leave, and would start its drain time anew.
		d.Log.Info("event=target_entry_older", "target", t.ID, "row_version", r.Version, "outcome", "still leaving")
		return false
	}
	changed := d.Directory.SetTarget(t)
	if changed {
		d.Log.Info("event=target_registered", "target", t.ID, "group", t.Group, "address", t.Address, "data_centre", t.DataCentre,
			"leaving", t.Leaving, "claims_primary", t.ClaimsPrimary, "superseded", t.Superseded, "row_version", r.Version)
	}
	// Which target claims to be the primary matters only to the VM that writes a group's first row, and
	// that VM watches the store itself.
	known.ClaimsPrimary, known.LeavingSince = t.ClaimsPrimary, t.LeavingSince
	return changed && (!ok || known != t)
}

// reloadOnSignal reads the settings file again on SIGHUP. The log level changes at once; other
// changed settings are logged as needing a restart.
func (d *daemon) reloadOnSignal(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			d.reload()
		case <-ctx.Done():
			return
		}
	}
}

func (d *daemon) reload() {
	next, err := LoadSettings(string(d.File))
	if err != nil {
		d.Log.Error("event=reload_refused", "error", err, "outcome", "kept the settings in force")
		return
	}
	d.Logging.setLevel(next.LogLevel)
	d.Settings.LogLevel = next.LogLevel
	d.Log.Info("event=reloaded", "log_level", next.LogLevel, "needs_restart", d.changedSettings(next))
}

// changedSettings returns the names of the settings that differ from those in force.
func (d *daemon) changedSettings(next Settings) []string {
	var keys []string
	current, proposed := reflect.ValueOf(d.Settings), reflect.ValueOf(next)
	for i := range current.NumField() {
		if !reflect.DeepEqual(current.Field(i).Interface(), proposed.Field(i).Interface()) {
			keys = append(keys, current.Type().Field(i).Tag.Get("json"))
		}
	}
	return keys
}
