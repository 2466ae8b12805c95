package metastore_test

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/pkg/metastore"
)

var versions = rapid.Custom(func(t *rapid.T) metastore.Version {
	return metastore.Version{Era: rapid.Uint64Range(0, 3).Draw(t, "era"), Number: rapid.Uint64().Draw(t, "number")}
})

// Guards against a version of a later era that counts as older since its number is lower.
func TestVersionsAreOrderedByEraFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := versions.Draw(t, "a"), versions.Draw(t, "b")
		if a.Era != b.Era && a.After(b) != (a.Era > b.Era) {
			t.Fatalf("%v after %v: %v", a, b, a.After(b))
		}
		if a.After(b) && b.After(a) || a != b && !a.After(b) && !b.After(a) {
			t.Fatalf("%v and %v are not ordered", a, b)
		}
	})
}

// Guards against messages that VMs of builds without eras can't read.
func TestAVersionIsEncodedAsItsNumber(t *testing.T) {
	raw, err := msgpack.Marshal(metastore.Version{Era: 2, Number: 31})
	if err != nil {
		t.Fatal(err)
	}
	var number uint64
	if err := msgpack.Unmarshal(raw, &number); err != nil || number != 31 {
		t.Fatalf("%d %v", number, err)
	}
	var version metastore.Version
	if err := msgpack.Unmarshal(raw, &version); err != nil || version != (metastore.Version{Number: 31}) {
		t.Fatalf("%v %v", version, err)
	}
}

// Guards against a conditional write on a version that was given out again to another write.
func TestAWriteOnAVersionOfAnEarlierEraConflicts(t *testing.T) {
	m := metastore.NewMemory()
	backup := m.Backup()
	lost, err := m.Put(t.Context(), "t", "k", []byte("lost"), metastore.Version{})
	if err != nil {
		t.Fatal(err)
	}
	m.Restore(backup)
	again, err := m.Put(t.Context(), "t", "k", []byte("again"), metastore.Version{})
	if err != nil || again.Number != lost.Number {
		t.Fatalf("%v instead of number %d: %v", again, lost.Number, err)
	}
	if _, err := m.Put(t.Context(), "t", "k", []byte("late"), lost); err == nil {
		t.Fatal("the write of the later era was overwritten")
	}
}
