package peer

import "time"

// resendTimeout is how long an item waits at most to be sent for the first time, while no other gateway
// is alive as far as is known: a gateway that was frozen hears of the others again within two seconds.
const resendTimeout = 5 * time.Second

// resendQueue holds items that are sent in several beacons, in case one is lost; the beacons
// take different relays.
type resendQueue[T any] struct {
	list []resendItem[T]
}

// resendItem is an item and the number of beacons that contained it.
type resendItem[T any] struct {
	item  T
	added time.Time
	sent  int
}

// add queues an item. Beyond limit items, the oldest are dropped.
func (r *resendQueue[T]) add(now time.Time, item T, limit int) {
	r.list = append(r.list, resendItem[T]{item: item, added: now})
	if len(r.list) > limit {
		r.list = append(r.list[:0], r.list[len(r.list)-limit:]...)
	}
}

// next returns up to limit items that are still to be sent, oldest first.
func (r *resendQueue[T]) next(now time.Time, limit int) []T {
	var items []T
	kept := r.list[:0]
	for _, t := range r.list {
		if t.sent == 0 && now.Sub(t.added) > resendTimeout {
			continue
		}
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

// hasUnsent reports whether an item has not been sent yet.
func (r *resendQueue[T]) hasUnsent() bool {
	return len(r.list) > 0 && r.list[len(r.list)-1].sent == 0
}
