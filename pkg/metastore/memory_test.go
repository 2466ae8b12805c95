package metastore_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/metastore"
)

func TestMemoryWritesAreConditional(t *testing.T) {
	ctx := context.Background()
	m := metastore.NewMemory()
	version, err := m.Put(ctx, "t", "k", []byte("1"), metastore.Version{})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.Put(ctx, "t", "k", []byte("2"), metastore.Version{}); !errors.Is(err, metastore.ErrConflict) {
		t.Fatalf("row was overwritten: %v", err)
	}
	if err := m.Delete(ctx, "t", "k", version, ""); err != nil {
		t.Fatal(err)
	}
	changes, err := m.Watch(ctx, "t", version, time.Second)
	if err != nil || len(changes.Rows) != 1 || !changes.Rows[0].Deleted {
		t.Fatalf("%+v %v", changes, err)
	}
	if rows, _ := m.List(ctx, "t", metastore.All); len(rows.Rows) != 0 {
		t.Fatalf("%+v", rows)
	}
}

// The store drops its history while a watcher is behind. The watch must fail, so that the watcher
// lists the table again, or the watcher would miss changes.
func TestWatchFailsAfterHistoryIsDropped(t *testing.T) {
	ctx := context.Background()
	m := metastore.NewMemory()
	for i := range 3 {
		if _, err := m.Put(ctx, "t", string(rune('a'+i)), nil, metastore.Version{}); err != nil {
			t.Fatal(err)
		}
	}
	m.ForgetHistory()
	if _, err := m.Watch(ctx, "t", metastore.Version{Number: 1}, time.Second); !errors.Is(err, metastore.ErrHistoryGone) {
		t.Fatalf("got %v", err)
	}
	if _, err := m.Watch(ctx, "t", metastore.Version{Number: 3}, time.Millisecond); err != nil {
		t.Fatalf("a watcher that is up to date: %v", err)
	}
}

func TestListRange(t *testing.T) {
	ctx := context.Background()
	m := metastore.NewMemory()
	for _, key := range []string{"duty", "group/1", "group/2", "groups", "vm/1", "vm/11"} {
		if _, err := m.Put(ctx, "t", key, nil, metastore.Version{}); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		keys metastore.Range
		want string
	}{
		{metastore.All, "duty group/1 group/2 groups vm/1 vm/11"},
		{metastore.Prefix("group/"), "group/1 group/2"},
		{metastore.Key("vm/1"), "vm/1"},
		{metastore.Key("vm/2"), ""},
		{metastore.Range{From: "duty", To: "vm/"}, "duty group/1 group/2 groups"},
	} {
		rows, err := m.List(ctx, "t", c.keys)
		if err != nil {
			t.Fatal(err)
		}
		var keys []string
		for _, r := range rows.Rows {
			keys = append(keys, r.Key)
		}
		if got := strings.Join(keys, " "); got != c.want {
			t.Errorf("%+v: %s", c.keys, got)
		}
	}
}

func TestDeleteWritesMarker(t *testing.T) {
	ctx := context.Background()
	m := metastore.NewMemory()
	version, err := m.Put(ctx, "t", "k", nil, metastore.Version{})
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Delete(ctx, "t", "k", version.Next(), "marker"); !errors.Is(err, metastore.ErrConflict) {
		t.Fatal(err)
	}
	if rows, _ := m.List(ctx, "t", metastore.Key("marker")); len(rows.Rows) != 0 {
		t.Fatalf("marker written without a removal: %+v", rows)
	}
	if err := m.Delete(ctx, "t", "k", version, "marker"); err != nil {
		t.Fatal(err)
	}
	rows, err := m.List(ctx, "t", metastore.All)
	if err != nil || len(rows.Rows) != 1 || rows.Rows[0].Version != rows.Version {
		t.Fatalf("%+v %v", rows, err)
	}
}
