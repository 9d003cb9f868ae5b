package engine

import (
	"bytes"
	"encoding/json"
)

// Weights turn tokens into cost.
type Weights struct {
	Input, Output, Cached float64 // weighted tokens for each token
	Call                  float64 // weighted tokens for a plain service's call
}

// bytesPerToken is the guess for text whose tokens nobody has counted yet.
const bytesPerToken = 4

// maxUsage is the largest event or answer that is searched for a usage record.
const maxLineLength = 64 << 10

// Meter reads the cost of a model engine's answer from its bytes as they pass.
// Until the engine tells the usage, input counts a token for four bytes and
// output a token for each event. The zero value is ready for a streamed or a
// whole answer.
type Meter struct {
	Weights        Weights
	EstimatedInput int // guessed input tokens

	events    int
	line      []byte
	usage     *usage
	truncated bool
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	Details          struct {
		CachedTokens int `json:"cached_tokens"`
	} `json:"prompt_tokens_details"`
}

// NewMeter returns a meter for the answer to a call with this content.
func NewMeter(w Weights, content []byte) *Meter {
	return &Meter{Weights: w, EstimatedInput: len(content) / bytesPerToken}
}

var dataPrefix = []byte("data:")

// Write reads the next bytes of the answer. It never fails.
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

func (m *Meter) parseUsage(data []byte) {
	var message struct {
		Usage *usage `json:"usage"`
	}
	if json.Unmarshal(data, &message) == nil && message.Usage != nil {
		m.usage = message.Usage
	}
}

// Cost returns the cost so far in weighted tokens.
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

// Finish reads what is left when the answer has ended and returns its cost.
func (m *Meter) Finish() float64 {
	if len(m.line) > 0 {
		m.finishLine()
	}
	return m.Cost()
}
