package fleettest_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/attempt"
	"opalbridge.dev/bubbletest"
	"opalbridge.dev/engine/enginetest"
	"opalbridge.dev/fleettest"
)

// step is a point in the lifetime of a request. The network has a latency of 50 ms one
// way, the prompt takes 100 ms and each of ten tokens 100 ms.
type step struct {
	name string
	at   time.Duration
}

var steps = []step{
	{"before the request", -time.Second},
	{"attempt on its way to the agent", 30 * time.Millisecond},
	{"agent's word on its way back", 80 * time.Millisecond},
	{"server reads the prompt", 130 * time.Millisecond},
	{"first chunk on its way", 280 * time.Millisecond},
	{"answer streams", 700 * time.Millisecond},
	{"end on its way", 1180 * time.Millisecond},
}

const (
	answerTokens = 10
	callDeadline = 30 * time.Second
)

func matrixFleet(t testing.TB) *fleettest.Fleet {
	return fleettest.Start(t, fleettest.Options{
		Routers: 2, Models: 2, Halls: 2, Services: 1, Latency: 50 * time.Millisecond,
		Model: enginetest.ModelOptions{TagTokens: true, DecodeStep: 100 * time.Millisecond, PrefillPerToken: 2 * time.Millisecond},
	})
}

// tokensOf returns the tokens of a streamed answer and whether it ends with [DONE].
func tokensOf(t testing.TB, body []byte) (tokens []string, complete bool) {
	for line := range bytes.Lines(body) {
		data, isEvent := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !isEvent {
			continue
		}
		if string(data) == "[DONE]" {
			complete = true
			continue
		}
		var e struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		require.NoError(t, json.Unmarshal(data, &e))
		if len(e.Choices) > 0 && e.Choices[0].Delta.Content != "" {
			tokens = append(tokens, strings.TrimSpace(e.Choices[0].Delta.Content))
		}
	}
	return tokens, complete
}

// checkGuarantees checks the guarantees that hold for every answer.
func checkGuarantees(t testing.TB, f *fleettest.Fleet, c fleettest.Call, a fleettest.Answer) {
	runs := 0
	for _, g := range f.Agents {
		if g.Model != nil {
			runs += g.Model.Runs()[a.ID]
		} else {
			runs += g.Service.Runs()[a.ID]
		}
	}
	if c.NonRepeatable {
		require.LessOrEqual(t, runs, 1, "a non-repeatable request ran %d times", runs)
	}
	if _, notRun := a.Outcome.(attempt.NotExecuted); notRun {
		require.Zero(t, runs, "a request reported as not executed ran")
		require.Empty(t, a.Body)
	}
	require.Less(t, a.Total, callDeadline+5*time.Second, "the caller got no answer by its deadline")
	if a.Status >= 400 || c.Pool == fleettest.ServicePool {
		return
	}
	tokens, complete := tokensOf(t, a.Body)
	for i, token := range tokens {
		require.Equal(t, fmt.Sprintf("%s.%d", a.ID, i), token, "a token of another answer, or out of order")
	}
	if ran, ok := a.Outcome.(attempt.Executed); ok && ran.Complete {
		require.True(t, complete && len(tokens) == answerTokens, "an answer reported as complete has %d tokens", len(tokens))
	} else {
		require.False(t, ok && complete && ran.Complete)
	}
}

// call returns the request of one row.
func call(noRepeat bool) fleettest.Call {
	return fleettest.Call{Account: "solo", Tokens: answerTokens, PromptBytes: 50, NonRepeatable: noRepeat, Deadline: callDeadline}
}

// runWithFaults sends a request and injects faults at the given times, relative to
// when the request is sent.
func runWithFaults(t testing.TB, f *fleettest.Fleet, c fleettest.Call, faults map[time.Duration]fleettest.Fault) fleettest.Answer {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, len(faults))
	for at, x := range faults {
		go func() {
			time.Sleep(time.Second + at)
			x.Run(ctx, f)
			done <- struct{}{}
		}()
	}
	time.Sleep(time.Second)
	a := f.Do(context.Background(), c)
	cancel()
	for range faults {
		<-done
	}
	return a
}

// requireRecovery checks that the fleet serves requests 30 s after a fault.
func requireRecovery(t testing.TB, f *fleettest.Fleet) {
	f.WaitReady()
	time.Sleep(30 * time.Second)
	a := f.Do(context.Background(), call(false))
	require.Equal(t, attempt.Executed{Complete: true}, a.Outcome, "the fleet has not recovered")
}

// row is a row of the fault matrix.
type row struct {
	fault, step, repeatable, notRepeatable string
}

func outcomeText(a fleettest.Answer) string {
	switch o := a.Outcome.(type) {
	case attempt.NotExecuted:
		return "not run"
	case attempt.Unknown:
		return "unknown"
	case attempt.Executed:
		switch {
		case o.Complete && a.Status >= 400:
			return "the server's error"
		case o.Complete:
			return "whole answer"
		case len(a.Body) == 0:
			return "ran, no answer"
		default:
			return "cut answer"
		}
	}
	return "?"
}

// TestFaultMatrix injects every fault at every step of a repeatable and of a
// non-repeatable request. It checks the guarantees and the recovery, and compares the
// outcomes with docs/FAULTS.md.
func TestFaultMatrix(t *testing.T) {
	var rows []row
	for _, x := range fleettest.Faults {
		for _, s := range steps {
			r := row{fault: x.Name, step: s.name}
			for _, noRepeat := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/%v", x.Name, s.name, noRepeat), func(t *testing.T) {
					bubbletest.Run(t, func(t *testing.T) {
						f := matrixFleet(t)
						c := call(noRepeat)
						a := runWithFaults(t, f, c, map[time.Duration]fleettest.Fault{s.at: x})
						text := outcomeText(a)
						if x.HitsCallerRouter && text == "not run" {
							text = "connection broken"
							a.Outcome = attempt.Unknown{}
						}
						checkGuarantees(t, f, c, a)
						requireRecovery(t, f)
						if noRepeat {
							r.notRepeatable = text
						} else {
							r.repeatable = text
						}
					})
				})
			}
			rows = append(rows, r)
		}
	}
	writePage(t, rows)
}
