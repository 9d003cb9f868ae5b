package surplus

// Size returns the numbers of accounts with unmet demand, by priority, and with a schedule.
func (t *Table) Size() (entries, due int) { return len(t.entries), len(t.due) }
