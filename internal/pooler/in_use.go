package pooler

// inUse returns the number of connections that serve a request or a transaction.
func (p *pool) inUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open - len(p.idle)
}
