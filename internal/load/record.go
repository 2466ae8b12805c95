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

// Outcome is what the caller knows of its request at the end.
type Outcome string

// The outcomes of requests.
const (
	Completed Outcome = "completed"
	NotRun    Outcome = "not-run"
	Unknown   Outcome = "unknown"
)

// Record is one request of the history: what was asked, when, and the answer.
// Times count from the start of the run on one monotonic clock.
type Record struct {
	ID      uint64 `json:"id"`
	Member  string `json:"member"`
	Class   string `json:"class"`
	Session string `json:"session"`
	Mode    Mode   `json:"mode"`
	// Epoch numbers the session's connections: an anonymous session is one.
	Epoch     int              `json:"epoch"`
	Proxy     string           `json:"proxy"`
	Operation Operation        `json:"operation"`
	Group     topology.GroupID `json:"group"`
	Key       string           `json:"key"`
	// Value that a write wrote or a read found; 0 when a read found no row.
	Value int64 `json:"value"`
	// AnswerKeys are the keys in a read's answer.
	AnswerKeys []string `json:"answer_keys,omitempty"`
	RequestID  string   `json:"request_id,omitempty"`
	// Strict: the read's class allows no staleness.
	Strict bool `json:"strict,omitempty"`
	// Waits: the write's class is acknowledged only when a replica holds it.
	Waits bool `json:"waits,omitempty"`

	// Intended is when the request was due to arrive.
	Intended time.Duration `json:"intended_ns"`
	// Sent is when its first attempt was sent, Done when the last was answered.
	Sent time.Duration `json:"sent_ns"`
	Done time.Duration `json:"done_ns"`
	// Refused is when an attempt was first refused or lost; 0 never.
	Refused time.Duration `json:"refused_ns,omitempty"`

	Outcome  Outcome `json:"outcome"`
	Code     string  `json:"code"`
	Attempts int     `json:"attempts"`
}

// maxRecords bounds the history's memory; a history cut there is not checked.
const maxRecords = 2_000_000

// History collects records. Safe for concurrent use.
type History struct {
	mu      sync.Mutex
	records []Record
	cut     bool
}

// Add appends a record.
func (h *History) Add(r Record) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.records) >= maxRecords {
		h.cut = true
		return
	}
	h.records = append(h.records, r)
}

// Records returns the records in the order of their completion, and whether
// they are all.
func (h *History) Records() (records []Record, whole bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.records, !h.cut
}

// WriteHistory writes one JSON object a line.
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
