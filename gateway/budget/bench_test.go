package budget_test

import (
	"testing"
	"time"

	"opalbridge.dev/gateway/budget"
)

// BenchmarkBudget measures a request and the decision on a retry of it.
func BenchmarkBudget(b *testing.B) {
	u := budget.New(limits, start)
	now := start
	for b.Loop() {
		now = now.Add(time.Millisecond)
		u.RecordRequest(now, "s", 0)
		if u.Take(now, "s", 30) {
			u.Acknowledge("s")
		}
	}
}
