package gateway_test

import (
	"errors"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// setKeys puts a configuration in force whose customers hold these keys; the database "public" needs none.
func (f *fixture) setKeys(version uint64, keys map[topology.CustomerID][]string) {
	f.t.Helper()
	var customers []customer.Customer
	for id, plain := range keys {
		c := customer.Customer{ID: id}
		for _, k := range plain {
			c.Keys = append(c.Keys, customer.KeyOf(k))
		}
		customers = append(customers, c)
	}
	registry, err := customer.NewRegistry(customers)
	if err != nil {
		f.t.Fatal(err)
	}
	c := *f.directory.Configuration()
	c.Version, c.Customers = version, registry
	public := c.Classes["newest"]
	public.Database, public.Open = "public", true
	c.Classes["public"] = public
	if !f.directory.SetConfiguration(&c) {
		f.t.Fatalf("version %d is not in force", version)
	}
}

// Guards against sessions without a customer: without a customer's key no session is opened.
func TestSessionRequiresCustomerKey(t *testing.T) {
	f := start(t)
	f.setKeys(2, map[topology.CustomerID][]string{"acme": {"k1"}})
	for opening, want := range map[string]string{
		"newest k1":      "welcome",
		"newest":         "refused BadCredentials",
		"newest unknown": "refused BadCredentials",
		"public":         "welcome",
		"public unknown": "welcome",
		"none k1":        "refused UnknownService",
	} {
		if got := f.opening(opening); got != want {
			t.Errorf("%q: %q, want %q", opening, got, want)
		}
	}
}

// Guards against an open session that is served after its key has been revoked.
func TestSessionEndsWhenItsKeyIsRevoked(t *testing.T) {
	f := start(t)
	f.setKeys(2, map[topology.CustomerID][]string{"acme": {"k1", "k2"}})
	revoked, valid := f.open("newest k1"), f.open("newest k2")
	revoked.expect("read 1", "I ok d")
	f.setKeys(3, map[topology.CustomerID][]string{"acme": {"k2"}})
	if got := revoked.readLine(); got != "closed" {
		t.Fatalf("got %q", got)
	}
	valid.expect("read 2", "I ok d")
}

// Guards against a transaction that is cut off because its session's key is revoked; the session ends
// after the transaction.
func TestTransactionContinuesAfterItsKeyIsRevoked(t *testing.T) {
	f := start(t)
	f.setKeys(2, map[topology.CustomerID][]string{"acme": {"k1"}})
	c := f.open("newest k1")
	c.expect("begin", "T ok")
	c.expect("write 1", "T ok d")
	f.setKeys(3, map[topology.CustomerID][]string{"acme": {}})
	time.Sleep(50 * time.Millisecond)
	c.expect("commit", "I ok d")
	if got := c.readLine(); got != "closed" {
		t.Fatalf("got %q", got)
	}
}

// Guards against a request that reaches a target although its key was revoked just before.
func TestRequestAfterItsKeyIsRevokedIsRefused(t *testing.T) {
	f := start(t)
	f.setKeys(2, map[topology.CustomerID][]string{"acme": {"k1"}})
	c := f.open("newest k1")
	f.databases[primary].before = func(text string) (*result.Error, error) {
		if text == "read 1" {
			f.setKeys(3, map[topology.CustomerID][]string{"other": {"k2"}})
		}
		return nil, nil
	}
	c.expect("read 1", "I ok d")
	if got := c.ask("read 2"); got != "I BadCredentials not run" && got != "closed" {
		t.Fatalf("got %q", got)
	}
	if got := f.databases[primary].statements(); got != "read 1" {
		t.Fatalf("ran %s", got)
	}
}

// limits refuses the customers in refused, and counts admitted and returned operations.
type limits struct {
	refused  map[topology.CustomerID]bool
	admitted int
	returned int
}

func (l *limits) Admit(id topology.CustomerID, _ int) *result.Error {
	if l.refused[id] {
		return result.New(result.MemberLimit, "").After(time.Second)
	}
	l.admitted++
	return nil
}

func (l *limits) Return(topology.CustomerID, int) { l.returned++ }

// Guards against a limit that counts statements: a transaction is one operation, and is not interrupted by
// the limit.
func TestLimitCountsOperations(t *testing.T) {
	f := start(t)
	l := &limits{refused: map[topology.CustomerID]bool{}}
	f.server.Limits = l
	f.setKeys(2, map[topology.CustomerID][]string{"acme": {"k1"}})
	c := f.open("newest k1")
	c.expect("begin", "T ok")
	l.refused["acme"] = true
	c.expect("write 1", "T ok d")
	c.expect("commit", "I ok d")
	c.expect("read 1", "I MemberLimit not run")
	c.expect("begin", "I MemberLimit not run")
	if l.admitted != 1 || f.databases[primary].statements() != "write 1, commit" {
		t.Fatalf("%d admitted, ran %s", l.admitted, f.databases[primary].statements())
	}
}

// Guards against operations that count towards the limit although they have not run: refused attempts would
// use up the customer's limit.
func TestOperationThatHasNotRunIsReturned(t *testing.T) {
	f := start(t)
	l := &limits{}
	f.server.Limits = l
	f.setKeys(2, map[topology.CustomerID][]string{"acme": {"k1"}})
	c := f.open("hasty k1")
	f.databases[primary].before = func(string) (*result.Error, error) { return result.New(result.TargetBusy, ""), nil }
	c.expect("read 1", "I TargetBusy not run")
	f.databases[primary].before = func(string) (*result.Error, error) { return nil, errors.New("broken") }
	c.ask("write 1")
	if l.admitted != 2 || l.returned != 1 {
		t.Fatalf("%d admitted, %d returned", l.admitted, l.returned)
	}
}
