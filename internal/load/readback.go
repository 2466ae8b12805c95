package load

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Timeouts and retry interval of the steps before and after the load.
const (
	seedTimeout     = 30 * time.Second
	readBackTimeout = 15 * time.Second
	retryInterval   = 200 * time.Millisecond
)

// insertCounters inserts the rows of the counters, since an update of a missing
// row would change nothing.
func (m *memberLoad) insertCounters(ctx context.Context) error {
	class, ok := m.counterClass()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	s := newSession(m.profile, m.proxies, m.prefix+m.profile.Member+"-seed", SessionGroup{Mode: Roaming}, 0)
	defer s.close()
	for n := range m.profile.Counters {
		key := m.counterKey(n)
		r := &Record{Class: class, Key: key, Operation: Insert, RequestID: key + "-seed"}
		for {
			a := s.attempt(r, ClassLoad{Name: class}, false)
			if a.outcome == Completed {
				break
			}
			if ctx.Err() != nil {
				return errors.Newf("%s: counter %s could not be inserted: %s", m.describe(), key, a.code)
			}
			time.Sleep(retryInterval)
		}
	}
	return nil
}

// counterClass returns a class whose requests increment counters.
func (m *memberLoad) counterClass() (string, bool) {
	for _, c := range m.profile.Classes {
		if c.Operations[Add] > 0 {
			return c.Name, true
		}
	}
	return "", false
}

// readBack reads every row of the run, group by group, in the verify class.
func (m *memberLoad) readBack(ctx context.Context) FinalRows {
	final := FinalRows{Values: map[string]int64{}, Unread: map[topology.GroupID]string{}}
	for _, group := range m.run.o.Config.Groups(m.profile.Service) {
		if err := m.readGroup(ctx, group, final.Values); err != nil {
			final.Unread[group] = err.Error()
		}
	}
	return final
}

func (m *memberLoad) readGroup(ctx context.Context, group topology.GroupID, values map[string]int64) error {
	ctx, cancel := context.WithTimeout(ctx, readBackTimeout)
	defer cancel()
	for n := 0; ; n++ {
		err := m.tryReadGroup(ctx, m.profile.Proxies[n%len(m.profile.Proxies)], group, values)
		if err == nil {
			return nil
		}
		if !sleepUntil(ctx, m.run.elapsed, m.run.elapsed()+retryInterval) {
			return err
		}
	}
}

func (m *memberLoad) tryReadGroup(ctx context.Context, proxy string, group topology.GroupID, values map[string]int64) error {
	ctx, cancel := context.WithTimeout(ctx, m.profile.RequestTimeout.Std())
	defer cancel()
	// The id of a group is service/name; the option takes the name only.
	name := strings.TrimPrefix(string(group), string(config.GroupID(m.profile.Service, "")))
	conn, err := dial(ctx, proxy, map[string]string{
		optionService: m.profile.Service,
		optionClass:   m.profile.VerifyClass,
		optionGroup:   name,
	})
	if err != nil {
		return err
	}
	pc := &proxyConn{conn: conn}
	defer closeConn(conn)
	res := pc.query(ctx, statement(GetShared, m.profile.Table), m.prefix+m.profile.Member+"-%")
	if res.Err != nil {
		return res.Err
	}
	for _, row := range res.Rows {
		value, err := strconv.ParseInt(string(row[1]), 10, 64)
		if err != nil {
			return errors.Wrapf(err, "row %q", row[0])
		}
		values[string(row[0])] = value
	}
	return nil
}
