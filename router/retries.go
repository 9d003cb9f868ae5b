package router

import (
	"sync"
)

const (
	maxRetries = 5
	// Retries may be a tenth of all requests, with bursts of up to retryBurst after
	// a quiet period.
	retryRatio = 0.1
	retryBurst = 20
)

// retryBudget is a token bucket that keeps retries from amplifying an overload: each
// request adds retryRatio of a token. The zero value is a full bucket.
type retryBudget struct {
	mutex sync.Mutex
	spent float64
}

func (b *retryBudget) deposit() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.spent = max(0, b.spent-retryRatio)
}

func (b *retryBudget) tryWithdraw() bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.spent+1 > retryBurst {
		return false
	}
	b.spent++
	return true
}
