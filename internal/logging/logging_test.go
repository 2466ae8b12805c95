package logging_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/logging"
)

// Guards against errors that are logged with their stack trace, and against events that can't be
// found by event=name. A line must be short and have the error's text only.
func TestLineHasEventAndErrorTextWithoutStack(t *testing.T) {
	var out bytes.Buffer
	logging.New(&out, "bts", "info").Warn("event=store_lost", "table", "t", "error", errors.Wrap(errors.New("refused"), "store"))
	line := out.String()
	if !strings.Contains(line, " event=store_lost ") || !strings.Contains(line, ` error="store: refused"`) {
		t.Fatal(line)
	}
	if strings.Count(line, "\n") != 1 || strings.Contains(line, "stack") {
		t.Fatal(line)
	}
}
