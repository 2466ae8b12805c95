// Package customer identifies customers by their keys and holds their limits.
//
// It does no I/O and reads no clock.
package customer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Customer is a customer as declared in the configuration.
type Customer struct {
	ID topology.CustomerID
	// Keys identify the customer's sessions. A customer without keys can't open sessions.
	Keys  []Key
	Limit Limit
}

// Limit is how many operations a customer may begin on all VMs together.
type Limit struct {
	// Rate is in operations per second; 0 means no limit.
	Rate float64
	// Burst is how many operations may come at once.
	Burst float64
}

// Registry holds the customers of one configuration. It is immutable.
type Registry struct {
	byKey map[Key]topology.CustomerID
	byID  map[topology.CustomerID]Customer
}

// NewRegistry returns a registry of the customers, or an error if any of them is invalid. A key of two customers
// is invalid since it would identify neither.
func NewRegistry(customers []Customer) (*Registry, error) {
	r := &Registry{byKey: map[Key]topology.CustomerID{}, byID: make(map[topology.CustomerID]Customer, len(customers))}
	for i := range customers {
		if err := r.add(&customers[i]); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *Registry) add(c *Customer) error {
	if c.ID == "" {
		return result.New(result.ConfigInvalid, "a customer has no name")
	}
	if _, ok := r.byID[c.ID]; ok {
		return result.New(result.ConfigInvalid, "customer %q is declared twice", c.ID)
	}
	if c.Limit.Rate < 0 || c.Limit.Burst < 0 {
		return result.New(result.ConfigInvalid, "customer %q: a limit is below zero", c.ID)
	}
	r.byID[c.ID] = *c
	for _, k := range c.Keys {
		if k == (Key{}) {
			return result.New(result.ConfigInvalid, "customer %q: a key is empty", c.ID)
		}
		if other, ok := r.byKey[k]; ok && other != c.ID {
			return result.New(result.ConfigInvalid, "customers %q and %q hold the same key", other, c.ID)
		}
		r.byKey[k] = c.ID
	}
	return nil
}

// Holder returns the customer that holds a key, and false if none does.
func (r *Registry) Holder(k Key) (topology.CustomerID, bool) {
	if r == nil || k == (Key{}) {
		return "", false
	}
	id, ok := r.byKey[k]
	return id, ok
}

// HasKey reports whether any key opens sessions of a customer.
func (r *Registry) HasKey(id topology.CustomerID) bool {
	return r != nil && len(r.byID[id].Keys) > 0
}

// Limit returns a customer's limit, and false if the customer is not declared.
func (r *Registry) Limit(id topology.CustomerID) (Limit, bool) {
	if r == nil {
		return Limit{}, false
	}
	c, ok := r.byID[id]
	return c.Limit, ok
}

// Len returns the number of customers.
func (r *Registry) Len() int {
	if r == nil {
		return 0
	}
	return len(r.byID)
}

// Largest returns the n customers with the greatest limits in descending order. A customer without a limit
// counts as greater than any with one.
func (r *Registry) Largest(n int) []topology.CustomerID {
	ids := r.IDs()
	slices.SortStableFunc(ids, func(a, b topology.CustomerID) int { return cmp.Compare(r.effectiveRate(b), r.effectiveRate(a)) })
	return ids[:min(n, len(ids))]
}

func (r *Registry) effectiveRate(id topology.CustomerID) float64 {
	if rate := r.byID[id].Limit.Rate; rate > 0 {
		return rate
	}
	return math.Inf(1)
}

// IDs returns the IDs of the customers in ascending order.
func (r *Registry) IDs() []topology.CustomerID {
	if r == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(r.byID))
}
