package capacity

import (
	"fmt"
	"strings"
)

// Entry is a row of a table: a load, the mechanism that carries it, and its cost.
type Entry struct {
	Load      string
	Mechanism string
	Value     float64
	Error     float64
	Unit      string
	Limit     float64 // zero: no limit
	Source    string  // measured, worked out or assumed
}

// exceedsLimit reports whether the value is above the limit.
func (e Entry) exceedsLimit() bool { return e.Limit > 0 && e.Value > e.Limit }

const (
	kilo = 1000
	mega = 1000 * 1000
	day  = 24 * 60 * 60
)

// routerConnections returns the number of agents that a router is connected to.
func (z Size) routerConnections() float64 { return z.Degree * z.Models }

// agentConnections returns the number of routers that an agent is connected to, including
// those that sum its hall's counters.
func (z Size) agentConnections() float64 {
	return z.Routers*z.routerConnections()/z.Servers + z.Aggregators
}

// hallAgents returns the number of agents that report to a summing router.
func (z Size) hallAgents() float64 { return z.Servers / z.Halls }

// Agent returns the control costs of an agent.
func (f *Figures) Agent(z Size) []Entry {
	report := f.Slope("report bytes")
	reports := (report.Value*z.Backlogged + report.Base) / z.Interval
	each := z.Aggregators + 1 // a report to each summing router, and one answer
	pick, merge := f.Slope("pick"), f.Slope("merge")
	picks := z.Requests / z.Servers
	link := f.Slope("connection memory")
	want := f.Slope("want and grant bytes")
	return []Entry{
		{"reports and totals", "hall's summing routers, cumulative counters", reports * each / kilo, report.Error * z.Backlogged * each / z.Interval / kilo, "KB/s", LimitBytes, "slope × size"},
		{"wants and grants, both ways", "counts told when far off, one grant a request", want.Value * picks / kilo, want.Error * picks / kilo, "KB/s", LimitBytes, "slope × size"},
		{"picks", "one scan of the accounts that wait", (pick.Value*z.Backlogged + pick.Base) * picks / 1e9 * 100, pick.Error * z.Backlogged * picks / 1e9 * 100, "% of a core", LimitCPU, "slope × size"},
		{"merging totals", "one pass over the accounts", (merge.Value*z.Accounts + merge.Base) / z.Interval / 1e9 * 100, merge.Error * z.Accounts / z.Interval / 1e9 * 100, "% of a core", LimitCPU, "slope × size"},
		{"connections from routers", "bounded subsets", link.Value * z.agentConnections() / mega, link.Error * z.agentConnections() / mega, "MB", LimitMemory, "slope × size"},
	}
}

// Router returns the control costs of a router and the further costs of a summing router.
func (f *Figures) Router(z Size) []Entry {
	report := f.Slope("report bytes")
	link := f.Slope("connection memory")
	want := f.Slope("want and grant bytes")
	gossip := f.Slope("gossip bytes")
	answer, sum := f.Slope("answer"), f.Slope("hall memory")
	perReport := report.Value*z.Backlogged + report.Base
	received := perReport * z.hallAgents() * 2 / z.Interval * (1 + 1/z.Aggregators) / 2
	exchanged := perReport * 2 * (z.Halls - 1) / z.Interval
	requests := z.Requests / z.Routers
	distances := 12.0 // powers of two below 2,400, the number of routers
	return []Entry{
		{"connections to agents", "subset of each model's agents", link.Value * z.routerConnections() / mega, link.Error * z.routerConnections() / mega, "MB", LimitMemory, "slope × size"},
		{"wants and grants", "counts told when far off", want.Value * requests / kilo, want.Error * requests / kilo, "KB/s", LimitBytes, "slope × size"},
		{"gossip of revisions", "routers at distances of powers of two", gossip.Value * distances / kilo, gossip.Error * distances / kilo, "KB/s", LimitBytes, "slope × size"},
		{"summing router: reports of its hall", "two routers hear the whole hall", received / kilo, report.Error * z.Backlogged * z.hallAgents() / z.Interval / kilo, "KB/s", LimitBytes, "slope × size"},
		{"summing router: sums of other halls", "one exchange with each hall an interval", exchanged / kilo, report.Error * z.Backlogged * 2 * z.Halls / z.Interval / kilo, "KB/s", LimitBytes, "slope × size"},
		{"summing router: counting reports and answering", "running sums; one pass over the accounts a report", (answer.Value*z.Accounts + answer.Base) * z.hallAgents() / z.Interval / 1e9 * 100, answer.Error * z.Accounts * z.hallAgents() / z.Interval / 1e9 * 100, "% of a core", LimitCPU, "slope × size"},
		{"summing router: counters of its hall", "one row for each agent and account", sum.Value * z.hallAgents() / mega, sum.Error * z.hallAgents() / mega, "MB", LimitMemory, "slope × size"},
	}
}

// Fleet returns the load of the fleet on the platform's store and the cost of distributing
// the configuration.
func (f *Figures) Fleet(z Size) []Entry {
	document := f.Slope("document bytes")
	bytes := document.Value*(z.Accounts+z.Servers) + document.Base
	const listRate, watchTime, hallWatchers = 200, 30, 2
	return []Entry{
		{"reads of the live list", "intervals grow with the fleet", min(listRate, z.Routers/2), 0, "reads/s", LimitReads, "worked out"},
		{"watches of the configuration", "two routers of each hall", z.Halls * hallWatchers / watchTime, 0, "reads/s", LimitReads, "worked out"},
		{"changes of the configuration", "one write each", z.Changes / day, 0, "writes/s", LimitWrites, "worked out"},
		{"the whole document", "one value of the service", bytes / kilo, document.Error * (z.Accounts + z.Servers) / kilo, "KB", 1000, "slope × size"},
		{"a change to each node", "the whole document, sent when the revision is newer", bytes * z.Changes / day / kilo, document.Error * (z.Accounts + z.Servers) * z.Changes / day / kilo, "KB/s", LimitBytes, "slope × size"},
		{"every router starts at once", "one read each, spread over 5 s", z.Routers * 2 / 5, 0, "reads/s", LimitReads, "assumed spread"},
	}
}

// Table returns the entries as a Markdown table.
func Table(entries []Entry) string {
	var b strings.Builder
	b.WriteString("| load | mechanism | at that size | unit | limit | verdict | from |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, e := range entries {
		limit, verdict := "", ""
		if e.Limit > 0 {
			limit, verdict = fmt.Sprintf("%g", e.Limit), "within"
			if e.exceedsLimit() {
				verdict = "**over**"
			}
		}
		fmt.Fprintf(&b, "| %s | %s | %.3g ± %.1g | %s | %s | %s | %s |\n", e.Load, e.Mechanism, e.Value, e.Error, e.Unit, limit, verdict, e.Source)
	}
	return b.String()
}

// SlopeTable returns the measured slopes as a Markdown table.
func SlopeTable(f *Figures) string {
	var b strings.Builder
	b.WriteString("| slope | of one more | unit | value | ± | at none | points (x: y) |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range f.Slopes {
		var points []string
		for _, p := range s.Points {
			points = append(points, fmt.Sprintf("%g: %.4g", p.X, p.Y))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %.4g | %.2g | %.4g | %s |\n", s.Name, s.Per, s.Unit, s.Value, s.Error, s.Base, strings.Join(points, ", "))
	}
	return b.String()
}

// Page returns the generated part of docs/CAPACITY.md.
func Page(f *Figures, z Size) string {
	return fmt.Sprintf("Measured on %s: %s\n\n## Slopes\n\n%s\n## An agent, at 10,000 servers\n\n%s\n## A router, at 2,400 nodes\n\n%s\n## The platform's service and the configuration\n\n%s",
		f.Date, f.Machine, SlopeTable(f), Table(f.Agent(z)), Table(f.Router(z)), Table(f.Fleet(z)))
}
