package gateway

import (
	"cmp"
	"slices"
	"time"

	"opalbridge.dev/gateway/placement"
)

// Sizes and times of holding requests.
const (
	// Requests that wait for a server are looked at again this often: a server reads
	// some 500 tokens meanwhile.
	holdEvery = 10 * time.Millisecond
	// Requests that wait at most; more are refused at once.
	mostHeld = 512
)

// heldRequest is a request that waits at the desk because no server could take it in
// time when it came.
type heldRequest struct {
	placeMessage
	asked     time.Time
	until     time.Time     // it is refused then
	objective time.Duration // that was left when it asked
}

// admit answers a request at once, or holds it for a moment if it may soon be served.
func (d *desk) admit(now time.Time, m placeMessage) {
	decision := d.decide(now, m)
	refuse, refused := decision.(placement.Refuse)
	hold := time.Duration(d.settings.Policy.HoldShare * float64(m.ask.Objective))
	if !refused || refuse.Reason == repeatsSpent || m.ask.OverShare || hold < holdEvery || len(d.held) >= mostHeld {
		m.reply <- decision
		return
	}
	d.held = append(d.held, heldRequest{placeMessage: m, asked: now, until: now.Add(hold), objective: m.ask.Objective})
}

// look tries the held requests again: first those of accounts within their share, then
// those of accounts that got least. What has waited long enough is refused.
func (d *desk) look(now time.Time) {
	for i := range d.held {
		d.stand(d.held[i].ask)
	}
	slices.SortStableFunc(d.held, func(a, b heldRequest) int {
		if a.ask.OverShare != b.ask.OverShare {
			if a.ask.OverShare {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.ask.Ahead, b.ask.Ahead)
	})
	kept := d.held[:0]
	for _, h := range d.held {
		if h.ctx.Err() != nil {
			h.reply <- placement.None{} // its caller has gone
			continue
		}
		h.ask.Objective = max(h.objective-now.Sub(h.asked), time.Millisecond)
		decision := d.decide(now, h.placeMessage)
		if _, refused := decision.(placement.Refuse); refused && now.Before(h.until) {
			kept = append(kept, h)
			continue
		}
		h.reply <- decision
	}
	clear(d.held[len(kept):])
	d.held = kept
}
