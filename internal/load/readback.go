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

// Patience of what goes before and after the load.
const (
	setUpPatience    = 30 * time.Second
	readBackPatience = 15 * time.Second
	retryPause       = 200 * time.Millisecond
)

// seedCounters inserts the counters' rows: an update of a missing row would
// change nothing.
func (m *memberLoad) seedCounters(ctx context.Context) error {
	class, ok := m.onceClass()
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, setUpPatience)
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
			time.Sleep(retryPause)
		}
	}
	return nil
}

// onceClass returns a class whose requests add to counters.
func (m *memberLoad) onceClass() (string, bool) {
	for _, c := range m.profile.Classes {
		if c.Operations[Add] > 0 {
			return c.Name, true
		}
	}
	return "", false
}

// readBack reads every row of the run, group by group, by the verify class.
func (m *memberLoad) readBack(ctx context.Context) Final {
	final := Final{Values: map[string]int64{}, Unread: map[topology.GroupID]string{}}
	for _, group := range m.run.o.Config.Groups(m.profile.Service) {
		if err := m.readGroup(ctx, group, final.Values); err != nil {
			final.Unread[group] = err.Error()
		}
	}
	return final
}

func (m *memberLoad) readGroup(ctx context.Context, group topology.GroupID, into map[string]int64) error {
	ctx, cancel := context.WithTimeout(ctx, readBackPatience)
	defer cancel()
	for n := 0; ; n++ {
		err := m.tryGroup(ctx, m.profile.Proxies[n%len(m.profile.Proxies)], group, into)
		if err == nil {
			return nil
		}
		if !sleepUntil(ctx, m.run.since, m.run.since()+retryPause) {
			return err
		}
	}
}

func (m *memberLoad) tryGroup(ctx context.Context, proxy string, group topology.GroupID, into map[string]int64) error {
	ctx, cancel := context.WithTimeout(ctx, m.profile.RequestTimeout.Std())
	defer cancel()
	// The group's id is service/name; the option is the name.
	name := strings.TrimPrefix(string(group), string(config.GroupID(m.profile.Service, "")))
	conn, err := dial(ctx, proxy, map[string]string{
		optionService: m.profile.Service,
		optionClass:   m.profile.VerifyClass,
		optionGroup:   name,
	})
	if err != nil {
		return err
	}
	l := &link{conn: conn}
	defer closeConn(conn)
	res := l.query(ctx, statement(GetShared, m.profile.Table), m.prefix+m.profile.Member+"-%")
	if res.Err != nil {
		return res.Err
	}
	for _, row := range res.Rows {
		value, err := strconv.ParseInt(string(row[1]), 10, 64)
		if err != nil {
			return errors.Wrapf(err, "row %q", row[0])
		}
		into[string(row[0])] = value
	}
	return nil
}
