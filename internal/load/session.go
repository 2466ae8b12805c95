package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgconn"
)

// session is one caller: it sends one request at a time, on one connection for
// each proxy that it has visited.
type session struct {
	profile *Profile
	id      string
	group   SessionGroup
	rng     *rand.Rand
	proxies *balancer
	proxy   int
	links   map[int]*link
	epoch   int
	token   string
	// lastOwn is the newest value that the session has tried to write.
	lastOwn int64
}

// link is a connection with the options that it has in force.
type link struct {
	conn    *pgconn.PgConn
	epoch   int
	options map[string]string
}

const (
	optionPrefix    = "buckthornshore."
	optionClass     = "class"
	optionShardKey  = "shard_key"
	optionGroup     = "group"
	optionRequestID = "request_id"
	optionSession   = "session"
	optionService   = "service"
	optionToken     = "token"
	// anyProxy is no present proxy.
	anyProxy = -1
	// newToken asks a proxy for a token.
	newToken = "new"
)

func newSession(p *Profile, b *balancer, id string, g SessionGroup, seed uint64) *session {
	rng := rand.New(rand.NewPCG(p.Seed, seed))
	s := &session{profile: p, id: id, group: g, rng: rng, proxies: b, links: map[int]*link{}}
	s.proxy = b.pick(rng, anyProxy, time.Now())
	if g.Mode == RoamingToken {
		s.token = newToken
	}
	return s
}

// roam moves the session to another proxy, as a balancer would.
func (s *session) roam() {
	if s.group.Mode != Anonymous && s.rng.Float64() < s.group.Roam {
		s.moveOn()
	}
}

// moveOn leaves the proxy for another one.
func (s *session) moveOn() { s.proxy = s.proxies.pick(s.rng, s.proxy, time.Now()) }

func (s *session) link(ctx context.Context) (*link, error) {
	if l := s.links[s.proxy]; l != nil {
		return l, nil
	}
	options := map[string]string{optionService: s.profile.Service, optionClass: s.profile.VerifyClass}
	if s.group.Mode != Anonymous {
		options[optionSession] = s.id
	}
	if s.token != "" {
		options[optionToken] = s.token
	}
	conn, err := dial(ctx, s.profile.Proxies[s.proxy], options)
	if err != nil {
		s.proxies.markDown(s.proxy, time.Now())
		return nil, err
	}
	s.epoch++
	l := &link{conn: conn, epoch: s.epoch, options: options}
	s.links[s.proxy] = l
	return l, nil
}

// dial connects with session options as start-up parameters.
func dial(ctx context.Context, address string, options map[string]string) (*pgconn.PgConn, error) {
	conf, err := pgconn.ParseConfig("postgres://load@" + address + "/load?sslmode=disable")
	if err != nil {
		return nil, errors.Wrap(err, "address")
	}
	conf.Fallbacks = nil
	for name, value := range options {
		conf.RuntimeParams[optionPrefix+name] = value
	}
	return pgconn.ConnectConfig(ctx, conf)
}

// prepare puts the options of the next request in force.
func (s *session) prepare(ctx context.Context, l *link, r *Record) error {
	wanted := []struct{ name, value string }{
		{optionClass, r.Class},
		{optionShardKey, r.Key},
		{optionRequestID, r.RequestID},
		{optionToken, s.token},
	}
	for _, w := range wanted {
		if l.options[w.name] == w.value {
			continue
		}
		if err := l.set(ctx, w.name, w.value); err != nil {
			return err
		}
	}
	return nil
}

func (l *link) set(ctx context.Context, name, value string) error {
	quoted := strings.ReplaceAll(value, "'", "''")
	_, err := l.conn.Exec(ctx, fmt.Sprintf("SET %s%s = '%s'", optionPrefix, name, quoted)).ReadAll()
	if err == nil {
		l.options[name] = value
	}
	return err
}

func (l *link) query(ctx context.Context, sql string, params ...string) *pgconn.Result {
	values := make([][]byte, len(params))
	for i := range params {
		values[i] = []byte(params[i])
	}
	return l.conn.ExecParams(ctx, sql, values, nil, nil, nil).Read()
}

// takeToken keeps the token that an acknowledged write returned. The next
// connection starts with it, so the floor goes where the session goes.
func (s *session) takeToken(l *link) {
	if s.group.Mode != RoamingToken {
		return
	}
	token := l.conn.ParameterStatus(optionPrefix + optionToken)
	if token != "" && token != s.token {
		s.token = token
		l.options[optionToken] = token
	}
}

func (s *session) dropLink() {
	l := s.links[s.proxy]
	if l == nil {
		return
	}
	delete(s.links, s.proxy)
	closeConn(l.conn)
}

func (s *session) close() {
	for _, l := range s.links {
		closeConn(l.conn)
	}
	s.links = map[int]*link{}
}

// closeTimeout bounds the farewell to a proxy that may hang.
const closeTimeout = 200 * time.Millisecond

func closeConn(c *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.Close(ctx) // The connection is given up in any case.
}
