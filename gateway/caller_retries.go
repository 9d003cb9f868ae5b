package gateway

import (
	"strconv"
	"sync"
	"time"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/retry"
)

// callerRetryTracker remembers the requests that this gateway and others have refused, so that their
// retries are recognized. It is safe for concurrent use. Its zero value is ready to use.
type callerRetryTracker struct {
	mutex   sync.Mutex
	history *retry.History
}

func (t *callerRetryTracker) withHistory(fn func(h *retry.History)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.history == nil {
		t.history = retry.NewHistory()
	}
	fn(t.history)
}

// sinceFirstAttempt returns how long ago the caller of a request first tried; 0 if this is its
// first attempt as far as is known.
func (t *callerRetryTracker) sinceFirstAttempt(c *call) time.Duration {
	key, ok := c.retryKey()
	if !ok {
		return 0
	}
	elapsed := time.Duration(0)
	t.withHistory(func(h *retry.History) {
		if first, found := h.FirstAttempt(c.arrived, key, c.arrived.Add(c.meta.Deadline)); found {
			elapsed = max(c.arrived.Sub(first), time.Millisecond)
		}
	})
	return elapsed
}

// addRefused records that a request was refused, and tells the other gateways.
func (t *callerRetryTracker) addRefused(c *call) {
	key, ok := c.retryKey()
	if !ok {
		return
	}
	f := retry.Refusal{Key: key, Deadline: c.arrived.Add(c.meta.Deadline), FirstAttempt: c.arrived.Add(-c.sinceFirstAttempt)}
	t.withHistory(func(h *retry.History) { h.Record(time.Now(), f) })
	c.gateway.peers.PublishRefusal(peer.Refusal{Key: uint64(key), Deadline: f.Deadline, FirstAttempt: f.FirstAttempt})
}

// addRemote records requests that another gateway has refused.
func (t *callerRetryTracker) addRemote(now time.Time, list []peer.Refusal) {
	if len(list) == 0 {
		return
	}
	t.withHistory(func(h *retry.History) {
		for _, f := range list {
			h.Record(now, retry.Refusal{Key: retry.Key(f.Key), Deadline: f.Deadline, FirstAttempt: f.FirstAttempt})
		}
	})
}

// retryKey identifies the content of the request; ok is false if that does not distinguish it
// from others: it has no prompt parts, or no deadline.
func (c *call) retryKey() (key retry.Key, ok bool) {
	if !c.meta.HasDeadline || len(c.meta.Parts) == 0 {
		return 0, false
	}
	text := c.account + " " + c.route.Name + " " + requestTarget(c.request) + " " + c.meta.Model + " " + strconv.Itoa(c.meta.PromptTokens) + "," + strconv.Itoa(c.meta.MaxOutputTokens)
	for _, p := range c.meta.Parts {
		text += " " + p.ID
	}
	return retry.Key(hashString(text)), true
}
