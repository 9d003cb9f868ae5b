// Command mutants breaks the protocol on purpose, one break at a time, and checks
// that a named test catches each.
//
// # Usage
//
//	go run ./mutants          (from the repository's root; takes minutes)
//
// It copies the tree into a temporary folder, changes one place, runs the test and
// expects it to fail. It writes docs/MUTATIONS.md and exits with 1 when a break was
// not caught. It is for developers and not part of CI.
package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// mutant is one deliberate break.
type mutant struct {
	name     string
	file     string
	old, new string
	pkg, run string // the test that must fail
}

var mutants = []mutant{
	{"retry after unknown", "attempt/attempt.go", "return l.retryable && !l.responded", "return !l.responded", "./attempt", "TestLifecycleExhaustive"},
	{"skip the revoke", "attempt/attempt.go", "OnEntry(setAction(RequestRevoke{})).", "OnEntry(setAction(Retry{})).", "./attempt", "TestLifecycleAfterLostAttempt"},
	{"call not run what may have run", "attempt/attempt.go", "	l.mayHaveRun = true\n", "", "./attempt", "TestLifecycleExhaustive"},
	{"revoke what has begun", "attempt/registry.go", "		return e.revoked\n", "		return e.revoked || true\n", "./attempt", "TestRegistryRevoke"},
	{"forget a revoked attempt", "attempt/registry.go", "	case known && e.revoked:\n		return Revoked{}\n", "	case known && e.revoked:\n		return Started{}\n", "./attempt", "TestRegistryRevoke"},
	{"take an unknown attempt for revoked", "router/recover.go", "		next = f.life.Fire(attempt.AgentGone)\n	}\n	f.router.record", "		next = f.life.Fire(attempt.ConfirmRevoked)\n	}\n	f.router.record", "./fleettest", "TestFaultMatrix"},
	{"accept a lower revision", "config/holder.go", "d.Revision <= h.current.Revision", "d.Revision == h.current.Revision", "./config", "TestHolder"},
	{"write a lost change twice", "config/store.go", "		case slices.Contains(current.Recent, next.Change):\n", "		case false:\n", "./config", "TestLostAnswer"},
	{"drop the last chunk", "router/attempt.go", "!e.Complete || e.Chunks != f.nextChunk ||", "!e.Complete ||", "./fleettest", "TestDroppedChunk"},
	{"take chunks in any order", "router/attempt.go", "if c.Number != f.nextChunk || f.life.State() == attempt.Sent {", "if f.life.State() == attempt.Sent {", "./fleettest", "TestRepeatedChunk"},
	{"resume from the beginning", "router/recover.go", "Attempt: f.life.Attempts(), Next: f.nextChunk,", "Attempt: f.life.Attempts(), Next: 0,", "./fleettest", "TestFaultMatrix"},
	{"go on while leaving", "agent/leaving.go", "	d.leaving = leaving\n", "", "./fleettest", "TestLeavingServer"},
	{"cut off requests at a stop", "agent/agent.go", "		a.send(drainEvent{})\n", "		a.send(drainEvent{})\n		for _, j := range a.jobs.list() {\n			j.cancel(errAbandoned)\n		}\n", "./fleettest", "TestPlannedStop"},
	{"let a key be used again", "attempt/keys.go", "	if c, known := k.entries[id]; known {\n		return Duplicate", "	if c, known := k.entries[id]; known && false {\n		return Duplicate", "./attempt", "TestKeyStoreClaim"},
	{"let the transport repeat", "engine/client.go", "body := &nonReplayableBody{reader: bytes.NewReader(call.Body)}", "body := bytes.NewReader(call.Body)", "./engine", "TestTransportDoesNotRetry"},
	{"pick the account ahead", "fair/fair.go", "if best < 0 || k < minKey ||", "if best < 0 || k > minKey ||", "./fair", "TestPickOrder|TestFleetGap"},
	{"forget what a dead incarnation served", "ledger/ledger.go", "	h.clearPending(s)\n	s.pastIncarnations = append", "	h.clearPending(s)\n	for _, t := range s.totals {\n		h.replaceTotal(s, fair.Total{Account: t.Account})\n	}\n	s.pastIncarnations = append", "./ledger", "TestAgentRestart"},
	{"lend the credit at every server", "fair/fair.go", "max(tr.options.Slots, s.slots, tr.maxSlots)", "tr.options.Slots", "./fair", "TestUrgentCredit"},
	{"hold a whole window of retries", "gateway/budget/budget.go", "heldFraction   = 0.075", "heldFraction   = 0.8", "./gateway/budget", "TestRestartForgetsSpentRetries"},
	{"take all fixed retries when alone", "gateway/budget/budget.go", "ownFixedRetries = 3", "ownFixedRetries = 100", "./gateway/budget", "TestUnknownPeersMultiplyFixedRetries"},
	{"forget retries on their way", "gateway/budget/budget.go", "-float64(k.inFlight), 0)", ", 0)", "./gateway/budget", "TestHeldBackRetriesArriveTogether"},
	{"go on at any version", "gateway/placement/placement.go", "return !req.Pinned || ", "return true || ", "./platform", "TestBrokenStreamContinuesAtOtherVersion"},
	{"take up what nobody knows", "gateway/call_resume.go", "		return catalog.Server{}, ResumeUnknown, errOriginUnknown\n", "		return c.onlyOrigin()\n", "./platform", "TestCallerNamesNoAttempt"},
	{"tell nobody where a stream began", "gateway/origins.go", "	t.peers.PublishOrigin(o)\n", "", "./platform", "TestCallerResumesAtOtherVersion"},
	{"believe the first of two origins", "gateway/origin/origin.go", "	case e.other != 0:\n", "	case false:\n", "./gateway/origin", "TestRegistry"},
	{"ask no server for its lifetime", "gateway/server_lifetime.go", "return s.Born != 0 && g.options.Lifetimes != nil", "return false", "./platform", "TestUnannouncedRestartJoinsVersions"},
	{"count no parts of prompts", "gateway/suspect/suspect.go", "AddCrash(crashedAt, server, keys, parts...)", "AddCrash(crashedAt, server, keys)", "./platform", "TestPromptPartThatCrashesServers"},
	{"bar a part for everybody", "gateway/quarantine/part.go", "return e.ForAllAccounts() || slices.Contains(e.Accounts, account)", "return true", "./gateway/quarantine", "TestPartQuarantine"},
	{"bar a part by one request", "gateway/quarantine/part.go", "if len(e.Requests) < distinctRequests {", "if false {", "./gateway/quarantine", "TestPartQuarantine"},
	{"bar parts by crashes at one moment", "gateway/quarantine/part.go", "return crashes >= threshold && span >= partSpan", "return crashes >= threshold", "./gateway/quarantine", "TestPartQuarantine"},
	{"clear no part that is answered", "gateway/suspect/parts.go", "		if suspects {\n", "		if suspects && false {\n", "./gateway/suspect", "TestPartWorlds"},
	{"count crashes from when they are noticed", "gateway/suspect/suspect.go", "crashedAt := crashTime(now, requests)", "crashedAt := now", "./gateway", "TestCrashesCountFromTheirTime"},
	{"tell peers no parts", "gateway/suspect/suspect.go", "	e.Parts = partsToReport(parts, repeated, admit)\n", "	partsToReport(parts, repeated, admit)\n", "./gateway/suspect", "TestPartWorlds"},
	{"keep no evidence of parts", "gateway/suspect/store.go", "Trials: trials, Part: r.Part})", "Trials: trials})", "./gateway/suspect", "TestPartEvidenceOutlivesGateways"},
	{"try no part that others explain", "gateway/suspect/trials.go", "return s.registry.PartInDoubt(now, key, r.partKeys())", "return 0, false", "./platform", "TestPartInMalformedHeader"},
	{"read parts up to a malformed one", "platform/headers.go", "		id, tokens, _ := strings.Cut(strings.TrimSpace(pair), \":\")\n", "		id, tokens, ok := strings.Cut(strings.TrimSpace(pair), \":\")\n		if !ok {\n			return list\n		}\n", "./platform", "TestPartInMalformedHeader"},
	{"believe the end of an unframed answer", "gateway/call_quarantine.go", "if !r.Unframed || ", "if true || ", "./platform", "TestUnframedResponsesOfCrashedServers"},
	{"let late requests earn retries", "gateway/budget/budget.go", "if late > maxLateness {", "if false {", "./gateway/budget", "TestLateRequestsEarnRetries"},
}

const pageHead = `# Deliberate breaks, and what catches them

Written by ` + "`go run ./mutants`" + `, which makes each break in a copy of the tree, runs
the test named, and expects it to fail.

| break | where | caught by | caught |
| --- | --- | --- | --- |
`

func main() {
	missed, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutants:", err)
		os.Exit(1)
	}
	if missed > 0 {
		fmt.Fprintf(os.Stderr, "mutants: %d breaks were not caught\n", missed)
		os.Exit(1)
	}
}

func run() (missed int, err error) {
	dir, err := os.MkdirTemp("", "mutants")
	if err != nil {
		return 0, errors.Wrap(err, "make a folder")
	}
	defer os.RemoveAll(dir)
	if err := copyTree(dir); err != nil {
		return 0, err
	}
	var page bytes.Buffer
	page.WriteString(pageHead)
	for _, m := range mutants {
		caught, err := m.try(dir)
		if err != nil {
			return 0, err
		}
		word := "yes"
		if !caught {
			word = "**no**"
			missed++
		}
		fmt.Printf("figure mutant %q %s caught\n", m.name, word)
		fmt.Fprintf(&page, "| %s | `%s` | `go test -run '%s' %s` | %s |\n", m.name, m.file, strings.ReplaceAll(m.run, "|", "\\|"), m.pkg, word)
	}
	return missed, errors.Wrap(os.WriteFile("docs/MUTATIONS.md", page.Bytes(), 0o644), "write the page")
}

func copyTree(dir string) error {
	list, err := exec.Command("git", "ls-files", "-co", "--exclude-standard").Output()
	if err != nil {
		return errors.Wrap(err, "list files")
	}
	for name := range strings.Lines(string(list)) {
		name = strings.TrimSpace(name)
		content, err := os.ReadFile(name)
		if err != nil {
			return errors.Wrap(err, "copy")
		}
		to := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
			return errors.Wrap(err, "copy")
		}
		if err := os.WriteFile(to, content, 0o644); err != nil {
			return errors.Wrap(err, "copy")
		}
	}
	return nil
}

// try makes the break, runs the test, and reports whether the test failed; a break
// that does not compile is an error.
func (m mutant) try(dir string) (caught bool, err error) {
	file := filepath.Join(dir, m.file)
	good, err := os.ReadFile(file)
	if err != nil {
		return false, errors.Wrapf(err, "mutant %s", m.name)
	}
	if strings.Count(string(good), m.old) != 1 {
		return false, errors.Newf("mutant %s: %q stands %d times in %s", m.name, m.old, strings.Count(string(good), m.old), m.file)
	}
	defer func() { _ = os.WriteFile(file, good, 0o644) }()
	if err := os.WriteFile(file, []byte(strings.Replace(string(good), m.old, m.new, 1)), 0o644); err != nil {
		return false, errors.Wrapf(err, "mutant %s", m.name)
	}
	build := exec.Command("go", "build", "./"+filepath.Dir(m.file))
	build.Dir = dir
	if out, err := build.CombinedOutput(); err != nil {
		return false, errors.Newf("mutant %s does not compile: %s", m.name, out)
	}
	test := exec.Command("go", "test", "-vet=off", "-count=1", "-failfast", "-timeout", "120s", "-run", m.run, m.pkg)
	test.Dir = dir
	return test.Run() != nil, nil
}
