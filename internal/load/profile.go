// Package load implements the load and fault injection tool: it sends a member's
// workload to the proxies at the rates of the profile, injects faults, records a
// history of the requests and checks it against the consistency rules.
package load

import (
	"time"

	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Profile is the workload of one member.
type Profile struct {
	Member  string `json:"member"`
	Service string `json:"service"`
	// Table is the table of the run's rows, with the columns k and v.
	Table string `json:"table"`
	// Proxies are the addresses (ip:port) at which the daemons serve callers.
	Proxies []string `json:"proxies"`
	// AdminAddresses are the addresses of the daemons' metrics; without them the
	// share of reads served by replicas is not measured.
	AdminAddresses []string `json:"admin_addresses"`
	// PlatformURL is the URL of the platform stand-in, used to inject platform
	// faults.
	PlatformURL string `json:"platform_url"`

	Sessions []SessionGroup `json:"sessions"`
	Classes  []ClassLoad    `json:"classes"`
	// VerifyClass is a read class of staleness 0, used to read the rows back at the
	// end.
	VerifyClass string `json:"verify_class"`
	// OwnKeys is the number of keys per session that only this session writes.
	OwnKeys int `json:"own_keys"`
	// SharedKeys is the number of keys that all sessions write and read.
	SharedKeys int `json:"shared_keys"`
	// Counters is the number of rows that "add" requests increment.
	Counters int `json:"counters"`

	Duration settings.Duration `json:"duration"`
	// WarmUp is the first part of the duration; its requests are checked but not
	// measured.
	WarmUp settings.Duration `json:"warm_up"`
	Seed   uint64            `json:"seed"`
	// Multiplier scales the rate of every class: 2 doubles the load.
	Multiplier float64 `json:"multiplier"`
	// MaxOutstanding bounds the requests that wait for a session or run; arrivals
	// above it are counted as overrun and never sent.
	MaxOutstanding int `json:"max_outstanding"`
	// RequestTimeout bounds one attempt of a request.
	RequestTimeout settings.Duration `json:"request_timeout"`
	// MaxRetries is the maximum number of retries of a request.
	MaxRetries int `json:"max_retries"`
	// LinearKeys is the number of shared keys checked for linearizability.
	LinearKeys int     `json:"linear_keys"`
	Faults     []Fault `json:"faults"`
}

// SessionGroup is a number of sessions with the same settings.
type SessionGroup struct {
	Mode  Mode `json:"mode"`
	Count int  `json:"count"`
	// Roam is the probability, from 0 to 1, that a session moves to another proxy
	// before a request.
	Roam float64 `json:"roam"`
}

// Mode is how a session identifies itself to the proxies.
type Mode string

// The modes of sessions.
const (
	// Anonymous sessions send no id: each lasts as long as its connection, and it
	// does not roam.
	Anonymous Mode = "anonymous"
	// Roaming sessions send an id and no token.
	Roaming Mode = "roaming"
	// RoamingToken sessions send an id and a token.
	RoamingToken Mode = "roaming-token"
)

// ClassLoad is the load of one request class.
type ClassLoad struct {
	Name string `json:"name"`
	// Rate is the mean of the Poisson arrivals in requests per second.
	Rate float64 `json:"rate"`
	// Operations maps the operations of the requests to their relative weights.
	Operations map[Operation]float64 `json:"operations"`
	// Transactions is the share (0 to 1) of put requests that run in a transaction.
	Transactions float64 `json:"transactions"`
	// ReadBack is the read class in which a session reads a key immediately after
	// a completed put-own to it, with the probability ReadBackShare. The arrivals
	// alone seldom read a key within the replication lag after its write, and
	// would not detect a read that ignores the session's floor.
	ReadBack      string  `json:"read_back"`
	ReadBackShare float64 `json:"read_back_share"`
	// SQL replaces the default statement: $1 is the key, $2 the value of a write.
	// It must have the same effect, otherwise the checks report false violations.
	SQL string `json:"sql"`
}

// Operation is the kind of a request.
type Operation string

// The operations of requests.
const (
	// PutOwn writes the session's next value to one of its own keys.
	PutOwn Operation = "put-own"
	// GetOwn reads one of the session's own keys.
	GetOwn Operation = "get-own"
	// PutShared writes a value to a shared key; the value is unique in the run.
	PutShared Operation = "put-shared"
	// GetShared reads a shared key.
	GetShared Operation = "get-shared"
	// Add increments a counter by one; only for classes that are not repeatable.
	Add Operation = "add"
	// Insert inserts a new row; only for classes that are not repeatable.
	Insert Operation = "insert"
)

// Writes reports whether the operation changes a row.
func (o Operation) Writes() bool { return o != GetOwn && o != GetShared }

// RunsOnce reports whether the operation must run at most once.
func (o Operation) RunsOnce() bool { return o == Add || o == Insert }

func (o Operation) known() bool {
	switch o {
	case PutOwn, GetOwn, PutShared, GetShared, Add, Insert:
		return true
	}
	return false
}

// Defaults for settings that a profile omits.
const (
	defaultDuration       = 30 * time.Second
	defaultRequestTimeout = 10 * time.Second
	defaultOutstanding    = 1000
	defaultOwnKeys        = 2
	defaultSharedKeys     = 16
	defaultCounters       = 16
	defaultLinearKeys     = 10
)

func defaultProfile() Profile {
	return Profile{
		Seed:           1,
		Multiplier:     1,
		Duration:       settings.Duration(defaultDuration),
		RequestTimeout: settings.Duration(defaultRequestTimeout),
		MaxOutstanding: defaultOutstanding,
		OwnKeys:        defaultOwnKeys,
		SharedKeys:     defaultSharedKeys,
		Counters:       defaultCounters,
		LinearKeys:     defaultLinearKeys,
	}
}

// ReadProfile reads a profile, a file of JSON with comments.
func ReadProfile(path string) (Profile, error) {
	p := defaultProfile()
	if err := settings.Load(path, &p); err != nil {
		return p, err
	}
	return p, nil
}

// Check validates the profile against the configuration.
func (p *Profile) Check(conf *config.View) error {
	if service, ok := conf.Service(p.Service); !ok || service.Member != p.Member {
		return invalid("member %q has no service %q", p.Member, p.Service)
	}
	switch {
	case p.Table == "":
		return invalid("table is missing")
	case len(p.Proxies) == 0:
		return invalid("proxies are missing")
	case p.sessionCount() == 0:
		return invalid("sessions are missing")
	case p.OwnKeys < 1 || p.SharedKeys < 1 || p.Counters < 1 || p.MaxOutstanding < 1:
		return invalid("own_keys, shared_keys, counters and max_outstanding are 1 or more")
	case p.Duration <= p.WarmUp:
		return invalid("duration %v is not above warm_up %v", p.Duration.Std(), p.WarmUp.Std())
	}
	verify, ok := conf.Class(p.Service, p.VerifyClass)
	if !ok || verify.Kind != config.Read || verify.Staleness != 0 {
		return invalid("verify_class %q is not a read class of staleness 0", p.VerifyClass)
	}
	for _, s := range p.Sessions {
		if s.Mode != Anonymous && s.Mode != Roaming && s.Mode != RoamingToken {
			return invalid("no session mode %q", s.Mode)
		}
	}
	for _, c := range p.Classes {
		if err := p.checkClass(conf, c); err != nil {
			return err
		}
	}
	return checkFaults(p.Faults)
}

func (p *Profile) checkClass(conf *config.View, c ClassLoad) error {
	class, ok := conf.Class(p.Service, c.Name)
	if !ok {
		return invalid("service %q has no class %q", p.Service, c.Name)
	}
	if len(c.Operations) == 0 {
		return invalid("class %q has no operations", c.Name)
	}
	if readBack, ok := conf.Class(p.Service, c.ReadBack); c.ReadBack != "" && (!ok || readBack.Kind != config.Read) {
		return invalid("class %q: read_back %q is not a read class", c.Name, c.ReadBack)
	}
	for op := range c.Operations {
		switch {
		case !op.known():
			return invalid("class %q: no operation %q", c.Name, op)
		case op.Writes() != (class.Kind == config.Write):
			return invalid("class %q: operation %q does not fit a %s class", c.Name, op, class.Kind)
		case op.RunsOnce() && class.Repeatable:
			return invalid("class %q: operation %q needs a class that is not repeatable", c.Name, op)
		}
	}
	return nil
}

func (p *Profile) sessionCount() int {
	n := 0
	for _, s := range p.Sessions {
		n += s.Count
	}
	return n
}

func invalid(format string, args ...any) error {
	return result.New(result.ConfigInvalid, format, args...)
}
