package database

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// fileRecord is one line of the data file; one field is set.
type fileRecord struct {
	Entry *Entry      `json:"entry,omitempty"`
	Cut   *cutRecord  `json:"cut,omitempty"`
	Role  *roleRecord `json:"role,omitempty"`
}

type cutRecord struct {
	Keep uint64 `json:"keep"`
}

type roleRecord struct {
	Term    uint64   `json:"term"`
	Role    Role     `json:"role"`
	Primary endpoint `json:"primary"`
}

func recordsOf(entries []Entry) []fileRecord {
	out := make([]fileRecord, 0, len(entries))
	for i := range entries {
		out = append(out, fileRecord{Entry: &entries[i]})
	}
	return out
}

// saveLocked appends records with one write, before they take effect. A
// database that cannot write stops: going on would acknowledge what is lost.
func (d *Database) saveLocked(records ...fileRecord) {
	if d.file == nil {
		return
	}
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	for _, r := range records {
		err := enc.Encode(r)
		invariant(err == nil, "record cannot be encoded: %v", err)
	}
	_, err := d.file.Write(buf.Bytes())
	invariant(err == nil, "data file cannot be written: %v", err)
}

func (d *Database) saveRoleLocked() {
	d.saveLocked(fileRecord{Role: &roleRecord{Term: d.term, Role: d.role, Primary: d.primary}})
}

func (d *Database) openFile(path string) error {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return errors.Wrap(err, "data file")
	}
	whole, err := d.replay(f)
	if err == nil {
		// A kill in the middle of a write leaves half a line. It was never
		// acknowledged; left in place it would spoil the record after it.
		err = f.Truncate(whole)
	}
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "data file"), f.Close())
	}
	d.file = f
	return nil
}

// replay reads all whole lines and returns their length.
func (d *Database) replay(f io.Reader) (int64, error) {
	r := bufio.NewReader(f)
	var whole int64
	for {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return whole, nil
		}
		if err != nil {
			return 0, err
		}
		var rec fileRecord
		if err := json.Unmarshal(line, &rec); err != nil {
			return 0, errors.Wrapf(err, "at byte %d", whole)
		}
		d.restore(rec)
		whole += int64(len(line))
	}
}

func (d *Database) restore(rec fileRecord) {
	switch {
	case rec.Entry != nil:
		d.applyLocked(*rec.Entry)
	case rec.Cut != nil:
		invariant(rec.Cut.Keep < uint64(len(d.entries)), "cut to %d of %d entries", rec.Cut.Keep, len(d.entries))
		lost := d.entries[rec.Cut.Keep].Position()
		d.surplus = &position.Position{Term: lost.Term, Index: lost.Index}
		d.rebuildLocked(rec.Cut.Keep)
	case rec.Role != nil:
		d.term, d.role, d.primary = rec.Role.Term, rec.Role.Role, rec.Role.Primary
	}
}

func (d *Database) closeFile() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.file != nil {
		if err := d.file.Close(); err != nil {
			d.cfg.Log.Error("data file", "event", "file_close_failed", "error", err)
		}
		d.file = nil
	}
}
