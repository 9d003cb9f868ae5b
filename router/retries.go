package router

import (
	"sync"
)

const (
	maxRetries = 5
	// Retries may be a tenth of requests, and some more after a quiet time.
	retryRatio = 0.1
	retryBurst = 20
)

// retryBudget keeps retries from multiplying an overload: each request earns a
// part of one. Its zero value is full.
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
