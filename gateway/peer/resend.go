package peer

// resendQueue holds items that are sent in several beacons, in case one is lost; the beacons
// take different relays.
type resendQueue[T any] struct {
	list []resendItem[T]
}

// resendItem is an item and the number of beacons that contained it.
type resendItem[T any] struct {
	item T
	sent int
}

// add queues an item. Beyond limit items, the oldest are dropped.
func (r *resendQueue[T]) add(item T, limit int) {
	r.list = append(r.list, resendItem[T]{item: item})
	if len(r.list) > limit {
		r.list = append(r.list[:0], r.list[len(r.list)-limit:]...)
	}
}

// next returns up to limit items that are still to be sent, oldest first.
func (r *resendQueue[T]) next(limit int) []T {
	var items []T
	kept := r.list[:0]
	for _, t := range r.list {
		if len(items) < limit {
			items = append(items, t.item)
			t.sent++
		}
		if t.sent < transmissionsPerItem {
			kept = append(kept, t)
		}
	}
	clear(r.list[len(kept):])
	r.list = kept
	return items
}
