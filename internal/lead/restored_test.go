package lead

import (
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
)

// Guards against a right that no coordinator waits for: the store has lost the registration when it was
// restored from an older copy, and shows no removal.
func TestAReadAfterTheStoreLostTheRegistrationGivesNoRight(t *testing.T) {
	l, store := readingVM(t)
	memory := store.Store.(*metastore.Memory)
	l.leaving = true // Keeps it from registering again.
	l.read(t.Context())
	if _, ok := l.Right("g"); !ok {
		t.Fatal("no right before")
	}
	rows, err := memory.List(t.Context(), Table, metastore.Key(vmPrefix+"vm-3"))
	if err != nil {
		t.Fatal(err)
	}
	if err := memory.Delete(t.Context(), Table, rows.Rows[0].Key, rows.Rows[0].Version, ""); err != nil {
		t.Fatal(err)
	}
	memory.Restore(memory.Backup())
	rows, err = memory.List(t.Context(), Table, metastore.Key(groupPrefix+"g"))
	if err != nil {
		t.Fatal(err)
	}
	mustPut(t, memory, groupPrefix+"g", l.Row("g").Restored(rows.Version.Era), rows.Rows[0].Version)
	l.holder = lease.NewHolder() // Forgets the earlier right.
	l.read(t.Context())
	if _, ok := l.Right("g"); ok {
		t.Fatal("a right without a registration")
	}
}
