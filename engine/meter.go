package engine

import (
	"bytes"
	"encoding/json"
)

// Weights are the prices from which the cost of a response is computed.
type Weights struct {
	Input, Output, Cached float64 // weighted tokens per token
	Call                  float64 // weighted tokens per call of a plain service
}

// bytesPerToken is the estimated length of a token, for text whose tokens the engine
// has not counted yet.
const bytesPerToken = 4

// maxLineLength is the longest line, an event or a whole response, that is searched
// for a usage record.
const maxLineLength = 64 << 10

// Meter computes the cost of a model engine's response from its bytes as they
// arrive. Until the engine reports the usage, the input is estimated at one token
// for four bytes and the output at one token for each event. The zero value is
// ready to use for a streamed or a whole response.
type Meter struct {
	Weights        Weights
	EstimatedInput int // estimated input tokens

	events    int
	line      []byte
	usage     *usage
	truncated bool // the line exceeds maxLineLength
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// NewMeter returns a meter for the response to a call with this content.
func NewMeter(w Weights, content []byte) *Meter {
	return &Meter{Weights: w, EstimatedInput: len(content) / bytesPerToken}
}

var dataPrefix = []byte("data:")

// Write adds the next bytes of the response. It never fails.
func (m *Meter) Write(p []byte) (int, error) {
	n := len(p)
	for len(p) > 0 {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			m.appendLine(p)
			return n, nil
		}
		m.appendLine(p[:end])
		m.finishLine()
		p = p[end+1:]
	}
	return n, nil
}

// appendLine adds to the current line, or marks it as truncated if it grows beyond
// maxLineLength.
func (m *Meter) appendLine(p []byte) {
	if len(m.line)+len(p) > maxLineLength {
		m.truncated = true
		return
	}
	m.line = append(m.line, p...)
}

var usageField = []byte(`"usage"`)

func (m *Meter) finishLine() {
	data, isEvent := bytes.CutPrefix(m.line, dataPrefix)
	if isEvent {
		m.events++
	}
	if !m.truncated && bytes.Contains(data, usageField) {
		m.parseUsage(data)
	}
	m.line = m.line[:0]
	m.truncated = false
}

// parseUsage records the usage in an event or a whole response, if it has one.
func (m *Meter) parseUsage(data []byte) {
	var message struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(data, &message) == nil && message.Usage != nil {
		m.usage = message.Usage
	}
}

// Cost returns the cost so far, in weighted tokens.
func (m *Meter) Cost() float64 {
	if m.usage == nil {
		return float64(m.EstimatedInput)*m.Weights.Input + float64(m.events)*m.Weights.Output
	}
	u := m.usage
	cached := max(0, u.Details.CachedTokens)
	fresh := max(0, u.PromptTokens-cached)
	return float64(fresh)*m.Weights.Input +
		float64(cached)*m.Weights.Cached +
		float64(max(0, u.CompletionTokens))*m.Weights.Output
}

// Finish processes the last line of a response that has ended and returns the cost.
func (m *Meter) Finish() float64 {
	if len(m.line) > 0 {
		m.finishLine()
	}
	return m.Cost()
}
