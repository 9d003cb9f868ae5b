package config

import "sync"

// Holder holds the configuration in force on a node. The zero value holds an
// empty document of revision zero. It is safe for concurrent use.
type Holder struct {
	mutex   sync.RWMutex
	current *Document
	changed chan struct{}
}

// Current returns the document in force. The caller must not modify it.
func (h *Holder) Current() *Document {
	h.mutex.RLock()
	defer h.mutex.RUnlock()
	if h.current == nil {
		return &Document{}
	}
	return h.current
}

// Revision returns the revision in force.
func (h *Holder) Revision() uint64 { return h.Current().Revision }

// Offer makes d the current document if its revision is higher than the current
// one, and reports whether it did.
func (h *Holder) Offer(d *Document) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if d == nil || (h.current != nil && d.Revision <= h.current.Revision) || d.Revision == 0 {
		return false
	}
	h.current = d
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// Changed returns a channel that is closed when a newer revision comes into force.
func (h *Holder) Changed() <-chan struct{} {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}
