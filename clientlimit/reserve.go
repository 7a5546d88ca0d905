package clientlimit

// Reserve sets what a kept account holds, without turning others away. An increase is refused
// if it would use more than half of the budget, which leaves room for what must be admitted
// rather than postponed, or if it would use the reserves of other ports.
func (a *Account) Reserve(held int64) (ok bool) {
	b := a.budget
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	added := held - a.held
	used := b.used - b.leaving + added
	if added > 0 && (used > b.limit/2 || used+b.reservedBeside(a.port) > b.limit) {
		return false
	}
	a.held = held
	b.used += added
	a.port.used += added
	return true
}

// reservedBeside returns the unused reserves of the other ports. The mutex must be held.
func (b *Budget) reservedBeside(port *portUse) (reserved int64) {
	for _, other := range b.ports {
		if other != port {
			reserved += max(other.reserve-other.used, 0)
		}
	}
	return reserved
}
