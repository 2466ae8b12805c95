package fairqueue

// Credits gives the resource to the most urgent priority, except that each less urgent one gets a minimum share:
// it earns credit for what the others are served while it waits, and is served once its credit covers its next
// request. Priorities are numbers, of which the lowest is the most urgent. C is the unit of cost.
type Credits[C ~int64] struct {
	// Most bounds the credit that a priority accumulates while it can't be served, so that it does not take the
	// whole resource once it can.
	Most C

	earned map[int]C
}

// Pick returns the priority that is served next: the least urgent one whose credit covers its next request, else
// the most urgent one. priorities are in ascending order; the first of them needs no credit. next returns the
// cost of a priority's next request, or false if none can be served.
func (c *Credits[C]) Pick(priorities []int, next func(priority int) (C, bool)) (int, bool) {
	for i := len(priorities) - 1; i > 0; i-- {
		if cost, ok := next(priorities[i]); ok && c.earned[priorities[i]] >= min(cost, c.Most) {
			return priorities[i], true
		}
	}
	for _, p := range priorities {
		if _, ok := next(p); ok {
			return p, true
		}
	}
	return 0, false
}

// Spend deducts the cost of a request from its priority's credit.
func (c *Credits[C]) Spend(priority int, cost C) {
	if credit, ok := c.earned[priority]; ok {
		c.earned[priority] = max(0, credit-cost)
	}
}

// Earn adds to the credit of a priority that waits while a request of another one is served.
func (c *Credits[C]) Earn(priority int, earned C) {
	if c.earned == nil {
		c.earned = map[int]C{}
	}
	c.earned[priority] = min(c.earned[priority]+earned, c.Most)
}

// Clear removes the credit of a priority of which no request waits.
func (c *Credits[C]) Clear(priority int) { delete(c.earned, priority) }
