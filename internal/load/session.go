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

// session is one caller. It sends one request at a time and keeps a connection to
// each proxy that it has used.
type session struct {
	profile *Profile
	id      string
	group   SessionGroup
	rng     *rand.Rand
	proxies *balancer
	proxy   int
	conns   map[int]*proxyConn
	epoch   int
	token   string
	// lastOwn is the last value that the session tried to write to its own keys.
	lastOwn int64
}

// proxyConn is a connection to a proxy with the session options in effect on it.
type proxyConn struct {
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
	// noCurrentProxy makes balancer.pick choose among all proxies.
	noCurrentProxy = -1
	// newToken is the value of the token option that requests a new token.
	newToken = "new"
)

func newSession(p *Profile, b *balancer, id string, g SessionGroup, seed uint64) *session {
	rng := rand.New(rand.NewPCG(p.Seed, seed))
	s := &session{profile: p, id: id, group: g, rng: rng, proxies: b, conns: map[int]*proxyConn{}}
	s.proxy = b.pick(rng, noCurrentProxy, time.Now())
	if g.Mode == RoamingToken {
		s.token = newToken
	}
	return s
}

// roam moves the session to another proxy at random, as a load balancer would.
func (s *session) roam() {
	if s.group.Mode != Anonymous && s.rng.Float64() < s.group.Roam {
		s.switchProxy()
	}
}

// switchProxy makes another proxy the current one.
func (s *session) switchProxy() { s.proxy = s.proxies.pick(s.rng, s.proxy, time.Now()) }

func (s *session) proxyConn(ctx context.Context) (*proxyConn, error) {
	if pc := s.conns[s.proxy]; pc != nil {
		return pc, nil
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
	pc := &proxyConn{conn: conn, epoch: s.epoch, options: options}
	s.conns[s.proxy] = pc
	return pc, nil
}

// dial connects with the session options as startup parameters.
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

// setOptions sets the session options that differ for the next request.
func (s *session) setOptions(ctx context.Context, pc *proxyConn, r *Record) error {
	wanted := []struct{ name, value string }{
		{optionClass, r.Class},
		{optionShardKey, r.Key},
		{optionRequestID, r.RequestID},
		{optionToken, s.token},
	}
	for _, w := range wanted {
		if pc.options[w.name] == w.value {
			continue
		}
		if err := pc.set(ctx, w.name, w.value); err != nil {
			return err
		}
	}
	return nil
}

func (pc *proxyConn) set(ctx context.Context, name, value string) error {
	quoted := strings.ReplaceAll(value, "'", "''")
	_, err := pc.conn.Exec(ctx, fmt.Sprintf("SET %s%s = '%s'", optionPrefix, name, quoted)).ReadAll()
	if err == nil {
		pc.options[name] = value
	}
	return err
}

func (pc *proxyConn) query(ctx context.Context, sql string, params ...string) *pgconn.Result {
	values := make([][]byte, len(params))
	for i := range params {
		values[i] = []byte(params[i])
	}
	return pc.conn.ExecParams(ctx, sql, values, nil, nil, nil).Read()
}

// updateToken stores the token that an acknowledged write returned. The next
// connection starts with it, so the session's floor applies on other proxies too.
func (s *session) updateToken(pc *proxyConn) {
	if s.group.Mode != RoamingToken {
		return
	}
	token := pc.conn.ParameterStatus(optionPrefix + optionToken)
	if token != "" && token != s.token {
		s.token = token
		pc.options[optionToken] = token
	}
}

func (s *session) dropConn() {
	pc := s.conns[s.proxy]
	if pc == nil {
		return
	}
	delete(s.conns, s.proxy)
	closeConn(pc.conn)
}

func (s *session) close() {
	for _, pc := range s.conns {
		closeConn(pc.conn)
	}
	s.conns = map[int]*proxyConn{}
}

// closeTimeout bounds the closing handshake with a proxy that may hang.
const closeTimeout = 200 * time.Millisecond

func closeConn(c *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = c.Close(ctx) // The connection is dropped in any case.
}
