package peer

// retold holds news that are told in several beacons, in case one is lost; they take
// different relays.
type retold[T any] struct {
	list []tellings[T]
}

// tellings is one piece of news and how often it was told.
type tellings[T any] struct {
	news  T
	times int
}

// add keeps news until they were told; of more than most, the oldest are left out.
func (r *retold[T]) add(news T, most int) {
	r.list = append(r.list, tellings[T]{news: news})
	if len(r.list) > most {
		r.list = append(r.list[:0], r.list[len(r.list)-most:]...)
	}
}

// next returns up to so many news that are still to be told, oldest first.
func (r *retold[T]) next(most int) []T {
	var told []T
	kept := r.list[:0]
	for _, t := range r.list {
		if len(told) < most {
			told = append(told, t.news)
			t.times++
		}
		if t.times < repeatLoads {
			kept = append(kept, t)
		}
	}
	clear(r.list[len(kept):])
	r.list = kept
	return told
}
