package entry

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
	"github.com/buckthornshore/buckthornshore/internal/pooler"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Answers of SELECT buckthornshore.outcome('id').
const (
	outcomeRun    = "run"
	outcomeNotRun = "not run"
)

// notRunMarker is the value of a ledger row that an outcome query inserted before the
// request ran. No class has this name.
const notRunMarker = "!not run"

// outcomeQueryTable gets a row with each outcome query. This makes every query a
// write, whose acknowledgement waits for replicas as the class demands. Replicas
// that hold this write hold all earlier writes too, so a failover cannot revert
// either answer.
const outcomeQueryTable = "buckthornshore_asked"

// outcome returns whether the request has run. The answer is final: the query
// inserts the id into the ledger if it is missing there, so a request that is still
// in progress elsewhere conflicts with that row and fails as a whole, and "not run"
// stays true.
func (s *callerSession) outcome(id string) (string, *result.Error) {
	if s.tx != nil {
		return "", result.New(result.BadOption, "outcome is not asked for within a transaction")
	}
	req, failure := s.newOutcomeRequest(id)
	if failure != nil {
		return "", failure
	}
	begun := time.Now()
	resp, failure := s.routeWithinLimits(req)
	s.recordRequest(req, begun, failure)
	if failure != nil {
		return "", failure
	}
	return readOutcome(resp.Messages)
}

func (s *callerSession) newOutcomeRequest(id string) (*request, *result.Error) {
	conf := s.server.o.View.Config()
	class, ok := conf.Class(s.options.service, s.options.class)
	if !ok || class.Kind != config.Write {
		return nil, result.New(result.UnknownClass, "outcome needs the write class of the request, not %q", s.options.class)
	}
	group, failure := s.groupOf(conf)
	if failure != nil {
		return nil, failure
	}
	messages, err := (&pgproto3.Query{String: outcomeSQL(id)}).Encode(nil)
	if err != nil {
		return nil, result.New(result.BadRequestID, "%v", err)
	}
	class.Repeatable = true
	return &request{session: s, group: group, class: class, messages: messages, syncs: 1, repeats: true}, nil
}

func outcomeSQL(id string) string {
	key := "'" + strings.ReplaceAll(id, "'", "''") + "'"
	return "INSERT INTO " + pooler.LedgerTable + " (k, v) VALUES (" + key + ", '" + notRunMarker + "') ON CONFLICT (k) DO NOTHING; " +
		"INSERT INTO " + outcomeQueryTable + " (k, v) VALUES (" + key + ", '') ON CONFLICT (k) DO UPDATE SET v = excluded.v; " +
		"SELECT v FROM " + pooler.LedgerTable + " WHERE k = " + key
}

// readOutcome finds the ledger row in the target's answer.
func readOutcome(messages []byte) (string, *result.Error) {
	answer, state := "", ""
	err := pgwire.Split(messages, func(f pgwire.Frame) error {
		switch f.Type() {
		case pgwire.TypeError:
			state = pgwire.SQLState(f)
		case pgwire.TypeDataRow:
			var row pgproto3.DataRow
			if err := row.Decode(f.Body()); err != nil {
				return err
			}
			answer = outcomeRun
			if len(row.Values) == 1 && string(row.Values[0]) == notRunMarker {
				answer = outcomeNotRun
			}
		}
		return nil
	})
	if err != nil || state != "" || answer == "" {
		return "", result.New(result.Internal, "the outcome was not answered: SQLSTATE %q, %v", state, err)
	}
	return answer, nil
}
