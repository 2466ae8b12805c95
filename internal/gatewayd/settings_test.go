package gatewayd

import (
	"encoding/json"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// load writes valid settings with the given changes to a file, and loads them.
func load(t *testing.T, changed map[string]any) (Settings, error) {
	t.Helper()
	all := map[string]any{
		"vm": "vm-1", "data_centre": "x", "region": "r", "caller_address": "127.0.0.1:1", "ready_address": "127.0.0.1:2",
		"peer_address": "127.0.0.1:3", "store_address": "127.0.0.1:4", "promotion_address": "127.0.0.1:5",
	}
	for key, value := range changed {
		all[key] = value
	}
	raw, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSettings(path)
}

// Guards against a drain time other than the one that the operator has set.
func TestDrainTimeIsASetting(t *testing.T) {
	if s, err := load(t, nil); err != nil || s.Drain.Std() != 7*time.Second {
		t.Fatalf("by default %v, %v", s.Drain.Std(), err)
	}
	if s, err := load(t, map[string]any{"drain": "10000ms"}); err != nil || s.Drain.Std() != 10*time.Second {
		t.Fatalf("%v, %v", s.Drain.Std(), err)
	}
	_, err := load(t, map[string]any{"drain": "-1s"})
	if e := result.From(err); e == nil || e.Code != result.ConfigInvalid || !strings.Contains(e.Detail, "drain") {
		t.Fatalf("below zero: %v", err)
	}
}

// Guards against mechanisms for overload that start in a deployment that doesn't ask for them, or that can't be switched
// off in one whose platform announces overload.
func TestOverloadIsSelectedBySettings(t *testing.T) {
	all := Overload{PriorityLimits: true, FairQueue: true, SharedSlots: true, RetainConnections: true, AvoidOutliers: true}
	for name, test := range map[string]struct {
		changed map[string]any
		want    Overload
	}{
		"by default":    {nil, Overload{}},
		"announced":     {map[string]any{"contracts": []string{"base", "pressure"}}, all},
		"not announced": {map[string]any{"contracts": []string{"base", "quota"}}, Overload{}},
		"selected":      {map[string]any{"overload": map[string]any{"fair_queue": true}}, Overload{FairQueue: true}},
		"switched off":  {map[string]any{"contracts": []string{"pressure"}, "overload": map[string]any{}}, Overload{}},
	} {
		if s, err := load(t, test.changed); err != nil || *s.Overload != test.want {
			t.Errorf("%s: %+v, %v", name, s.Overload, err)
		}
	}
	_, err := load(t, map[string]any{"overload": map[string]any{"fair_queues": true}})
	if e := result.From(err); e == nil || e.Code != result.ConfigInvalid || !strings.Contains(e.Detail, "fair_queues") {
		t.Errorf("misspelt: %v", err)
	}
}

// Guards against a reload that fails because a setting is a list, or that reports unchanged settings as changed.
func TestReloadNamesChangedSettings(t *testing.T) {
	announced := map[string]any{"contracts": []string{"base", "pressure"}}
	before, err := load(t, announced)
	if err != nil {
		t.Fatal(err)
	}
	same, err := load(t, announced)
	if err != nil {
		t.Fatal(err)
	}
	d := &daemon{Settings: before}
	if keys := d.changedSettings(same); len(keys) != 0 {
		t.Errorf("unchanged: %v", keys)
	}
	next, err := load(t, map[string]any{"contracts": []string{"base"}})
	if err != nil {
		t.Fatal(err)
	}
	if keys := d.changedSettings(next); !slices.Equal(keys, []string{"contracts", "overload"}) {
		t.Errorf("changed: %v", keys)
	}
}
