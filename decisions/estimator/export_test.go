package estimator

// Size returns the numbers of routes, and of pairs of routes and accounts, of which something is
// known.
func (o *Outputs) Size() (routes, hinters int) { return len(o.routes), len(o.hints) }
