package logging_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/logging"
)

// The store is lost. The engineer on call greps for event=store_lost and finds one short line
// with the error's text, not a stack that fills the screen and the log's budget.
func TestALineNamesItsEventAndTheErrorsText(t *testing.T) {
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
