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

// fileRecord is one line of the data file. Exactly one field is set.
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

// saveLocked appends records to the data file with one write, before they take
// effect. If the write fails the program stops, since it would otherwise
// acknowledge commits that a restart loses.
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
		return errors.Wrap(err, "opening the data file")
	}
	completeLength, err := d.replay(f)
	if err == nil {
		// A process killed during a write leaves an incomplete line. Its record
		// was never acknowledged; if the line stayed, the next record would be
		// appended to it and be unreadable.
		err = f.Truncate(completeLength)
	}
	if err != nil {
		return errors.CombineErrors(errors.Wrap(err, "reading the data file"), f.Close())
	}
	d.file = f
	return nil
}

// replay restores the records of all complete lines and returns the length of
// these lines in bytes.
func (d *Database) replay(f io.Reader) (int64, error) {
	r := bufio.NewReader(f)
	var completeLength int64
	for {
		line, err := r.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return completeLength, nil
		}
		if err != nil {
			return 0, err
		}
		var rec fileRecord
		if err := json.Unmarshal(line, &rec); err != nil {
			return 0, errors.Wrapf(err, "decoding the record at byte %d", completeLength)
		}
		d.restore(rec)
		completeLength += int64(len(line))
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
			d.cfg.Log.Error("closing the data file failed", "event", "file_close_failed", "error", err)
		}
		d.file = nil
	}
}
