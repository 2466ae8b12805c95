package load

import (
	"bytes"
	"encoding/json"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Outcome is the final outcome of a request as its caller can tell it.
type Outcome string

// The outcomes of requests.
const (
	Completed Outcome = "completed"
	NotRun    Outcome = "not-run"
	Unknown   Outcome = "unknown"
)

// Record is one request of the history with its times and its answer. The times
// are measured from the start of the run on one monotonic clock.
type Record struct {
	ID      uint64 `json:"id"`
	Member  string `json:"member"`
	Class   string `json:"class"`
	Session string `json:"session"`
	Mode    Mode   `json:"mode"`
	// Epoch is the number of the session's connection that was used, counted from
	// 1. For an anonymous session each connection is a session of its own.
	Epoch     int              `json:"epoch"`
	Proxy     string           `json:"proxy"`
	Operation Operation        `json:"operation"`
	Group     topology.GroupID `json:"group"`
	Key       string           `json:"key"`
	// Value is the value that was written or read; 0 when a read found no row.
	Value int64 `json:"value"`
	// AnswerKeys are the keys in a read's answer.
	AnswerKeys []string `json:"answer_keys,omitempty"`
	RequestID  string   `json:"request_id,omitempty"`
	// Strict is set for a read whose class allows no staleness.
	Strict bool `json:"strict,omitempty"`
	// Waits is set for a write whose class is acknowledged only after a replica
	// holds the write.
	Waits bool `json:"waits,omitempty"`

	// Intended is when the request was due to arrive.
	Intended time.Duration `json:"intended_ns"`
	// Sent is when the first attempt was sent, Done when the last one ended.
	Sent time.Duration `json:"sent_ns"`
	Done time.Duration `json:"done_ns"`
	// Refused is when an attempt first failed; 0 when none did.
	Refused time.Duration `json:"refused_ns,omitempty"`

	Outcome  Outcome `json:"outcome"`
	Code     string  `json:"code"`
	Attempts int     `json:"attempts"`
}

// maxRecords bounds the memory of the history; a truncated history is not checked.
const maxRecords = 2_000_000

// History collects records. Safe for concurrent use.
type History struct {
	mu        sync.Mutex
	records   []Record
	truncated bool
}

// Add appends a record.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.records) >= maxRecords {
		h.truncated = true
		return
	}
	h.records = append(h.records, r)
}

// Records returns the records in the order of their completion, and whether
// the history is complete.
func (h *History) Records() (records []Record, complete bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records, !h.truncated
}

// WriteHistory writes the records to a file, one JSON object a line.
func WriteHistory(path string, records []Record) error {
	var lines bytes.Buffer
	enc := json.NewEncoder(&lines)
	for i := range records {
		if err := enc.Encode(&records[i]); err != nil {
			return errors.Wrap(err, "history")
		}
	}
	return errors.Wrap(os.WriteFile(path, lines.Bytes(), fileMode), "history")
}
