package target

// Sync brings the pools in line with the directory, and TickAll ticks them, as Run does.
func (p *Pools) Sync()    { p.sync() }
func (p *Pools) TickAll() { p.tick(false) }

// EnableFairQueue has waiting requests ordered fairly, and WeightOf returns a customer's weight, as with
// Options.FairQueue.
var (
	EnableFairQueue = (*Pool).enableFairQueue
	WeightOf        = weightOf
)

// ConnOf returns a link's connection.
func ConnOf(l *Link) Conn { return l.conn }
