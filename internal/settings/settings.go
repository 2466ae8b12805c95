// Package settings reads the settings files of the programs, one JSON file with
// comments per program. Unknown keys are errors, so that a misspelt key is not
// silently ignored.
package settings

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Duration is encoded in JSON as a Go duration string such as "250ms" or "2s".
type Duration time.Duration

// UnmarshalJSON reads a quoted duration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var s string
	if err := json.Unmarshal(b, &s); err != nil {
		return errors.Newf("a duration is a string such as \"250ms\", not %s", b)
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		return errors.Wrapf(err, "duration %q", s)
	}
	*d = Duration(v)
	return nil
}

// MarshalJSON writes the duration in the format that UnmarshalJSON reads.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Load reads the file at path into out. Errors carry result code ConfigInvalid.
func Load(path string, out any) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return result.New(result.ConfigInvalid, "%v", err)
	}
	return Parse(raw, out)
}

// Parse reads JSON with comments into out.
func Parse(raw []byte, out any) error {
	std, err := hujson.Standardize(raw)
	if err != nil {
		return result.New(result.ConfigInvalid, "%v", err)
	}
	dec := json.NewDecoder(bytes.NewReader(std))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return result.New(result.ConfigInvalid, "%v", err)
	}
	return nil
}
