package customer_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/customer"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

func newRegistry(t *testing.T, customers ...customer.Customer) *customer.Registry {
	t.Helper()
	r, err := customer.NewRegistry(customers)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func TestKeyIdentifiesItsHolder(t *testing.T) {
	r := newRegistry(t,
		customer.Customer{ID: "a", Keys: []customer.Key{customer.KeyOf("a1"), customer.KeyOf("a2")}},
		customer.Customer{ID: "b", Keys: []customer.Key{customer.KeyOf("b1")}},
		customer.Customer{ID: "without keys"},
	)
	for key, want := range map[string]string{"a1": "a", "a2": "a", "b1": "b", "unknown": "", "": ""} {
		id, ok := r.Holder(customer.KeyOf(key))
		if string(id) != want || ok != (want != "") {
			t.Errorf("key %q: %q, %v", key, id, ok)
		}
	}
}

func TestInvalidCustomersAreRefused(t *testing.T) {
	key := []customer.Key{customer.KeyOf("k")}
	for name, customers := range map[string][]customer.Customer{
		"no name":         {{ID: "", Keys: key}},
		"twice":           {{ID: "a"}, {ID: "a"}},
		"key of two":      {{ID: "a", Keys: key}, {ID: "b", Keys: key}},
		"empty key":       {{ID: "a", Keys: []customer.Key{customer.KeyOf("")}}},
		"rate below zero": {{ID: "a", Limit: customer.Limit{Rate: -1}}},
	} {
		_, err := customer.NewRegistry(customers)
		if result.From(err).Code != result.ConfigInvalid {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against keys in logs: neither a plain key nor its hash may be printed.
func TestKeyIsNotPrinted(t *testing.T) {
	k := customer.KeyOf("hunter2")
	for _, format := range []string{"%v", "%s", "%+v"} {
		if got := fmt.Sprintf(format, k); strings.Contains(got, "hunter2") || got != "key" {
			t.Errorf("%s: %q", format, got)
		}
	}
}
