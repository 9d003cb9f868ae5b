package surplus

import "time"

const (
	// minRetryAfter is the shortest retry delay: a new connection and a decision cost more than a
	// shorter wait in the queue would.
	minRetryAfter = 200 * time.Millisecond
	// maxRemainingFraction is the fraction of the remaining time that a caller is asked to wait at
	// most. Callers wait for at most a third of it.
	maxRemainingFraction = 0.25
	// maxScheduled limits the accounts for which a schedule is kept; requests of further accounts
	// get the shortest delay.
	maxScheduled = 4096
)

// RetryAfter returns when the caller of a refused request should retry: when its tokens fall due
// at the account's rate (tokens per second; 0: unknown), after those of its requests that were refused
// before. remaining is the time until an answer is of no use to the caller.
func (t *Table) RetryAfter(now time.Time, account string, tokens, rate float64, remaining time.Duration) time.Duration {
	limit := fraction(remaining, maxRemainingFraction)
	due, scheduled := t.due[account]
	if limit <= minRetryAfter || rate <= 0 || !scheduled && len(t.due) >= maxScheduled {
		return max(min(minRetryAfter, limit), 10*time.Millisecond)
	}
	if earliest := now.Add(minRetryAfter); due.Before(earliest) {
		due = earliest
	}
	if due.Sub(now) > limit {
		return limit // the schedule is full, and does not get longer
	}
	step := limit // also bounds the step of a very low rate
	if s := tokens / rate; s < limit.Seconds() {
		step = time.Duration(s * float64(time.Second))
	}
	t.due[account] = due.Add(max(step, 0))
	return due.Sub(now)
}
