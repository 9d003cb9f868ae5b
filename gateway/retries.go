package gateway

import (
	"strconv"
	"sync"
	"time"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/retry"
)

// returned remembers whom this gateway and others have turned away, so that those who come
// back are known. It is safe for use by several goroutines. Its zero value is ready.
type returned struct {
	mutex  sync.Mutex
	memory *retry.History
}

func (r *returned) locked(use func(m *retry.History)) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.memory == nil {
		r.memory = retry.NewHistory()
	}
	use(r.memory)
}

// spent returns how long ago the caller of a request tried first; 0: this is its first try,
// or nobody has told of another one.
func (r *returned) spent(c *call) time.Duration {
	key, ok := c.retryKey()
	if !ok {
		return 0
	}
	spent := time.Duration(0)
	r.locked(func(m *retry.History) {
		if first, back := m.FirstAttempt(c.arrived, key, c.arrived.Add(c.told.Deadline)); back {
			spent = max(c.arrived.Sub(first), time.Millisecond)
		}
	})
	return spent
}

// refused notes that a request was turned away, and tells the other gateways.
func (r *returned) refused(c *call) {
	key, ok := c.retryKey()
	if !ok {
		return
	}
	f := retry.Refusal{Key: key, Deadline: c.arrived.Add(c.told.Deadline), FirstAttempt: c.arrived.Add(-c.spent)}
	r.locked(func(m *retry.History) { m.Record(time.Now(), f) })
	c.gateway.peers.PublishRefusal(peer.Refusal{Key: uint64(key), Deadline: f.Deadline, FirstAttempt: f.FirstAttempt})
}

// told takes over whom another gateway has turned away.
func (r *returned) told(now time.Time, list []peer.Refusal) {
	if len(list) == 0 {
		return
	}
	r.locked(func(m *retry.History) {
		for _, f := range list {
			m.Record(now, retry.Refusal{Key: retry.Key(f.Key), Deadline: f.Deadline, FirstAttempt: f.FirstAttempt})
		}
	})
}

// retryKey names what the request asks; ok is false if that does not tell it from others:
// it has no prompt of its own, or no deadline.
func (c *call) retryKey() (key retry.Key, ok bool) {
	if !c.told.HasDeadline || len(c.told.Parts) == 0 {
		return 0, false
	}
	text := c.account + " " + c.route.Name + " " + requestTarget(c.request) + " " + c.told.Model + " " + strconv.Itoa(c.told.PromptTokens) + "," + strconv.Itoa(c.told.MaxOutputTokens)
	for _, p := range c.told.Parts {
		text += " " + p.ID
	}
	return retry.Key(hashString(text)), true
}
