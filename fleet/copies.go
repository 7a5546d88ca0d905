package fleet

import "context"

// copies tracks which other nodes have confirmed that they hold a record of the local node.
type copies struct {
	// epochs has the highest confirmed epoch of each node.
	epochs map[string]int64
	// changed is closed and replaced when the record is held in one more place.
	changed chan struct{}
}

func newCopies() copies {
	return copies{epochs: make(map[string]int64), changed: make(chan struct{})}
}

// notify wakes those who wait for the record to be held.
func (c *copies) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// count returns how many nodes hold a record with the epoch or a higher one.
func (c *copies) count(epoch int64) (nodes int) {
	for _, confirmed := range c.epochs {
		if confirmed >= epoch {
			nodes++
		}
	}
	return nodes
}

// ConfirmCopy records that another node holds the local node's record with the epoch.
func (d *Directory) ConfirmCopy(node string, epoch int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if epoch > d.copies.epochs[node] {
		d.copies.epochs[node] = epoch
		d.copies.notify()
	}
}

// AwaitHeld waits until the local node's record, as it is at the time of the call, outlasts
// this process: the log has acknowledged it, or as many nodes as stated have confirmed that
// they hold it. Without other nodes, only the log counts. held is false if the context ended
// before.
func (d *Directory) AwaitHeld(ctx context.Context, nodes int) (held bool) {
	epoch := d.Self().Epoch
	for {
		held, changed := d.isHeld(epoch, nodes)
		if held {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// isHeld reports whether the log or the number of nodes hold the record with the epoch, and
// returns a channel that is closed when that may have changed.
func (d *Directory) isHeld(epoch int64, nodes int) (held bool, changed <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost, _ := d.era.Since(d.publishedEra)
	inLog := d.publishedEpoch >= epoch && !lost
	return inLog || nodes > 0 && d.copies.count(epoch) >= nodes, d.copies.changed
}
