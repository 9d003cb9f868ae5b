package suspect

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"opalbridge.dev/gateway/peer"
	"opalbridge.dev/gateway/protocol"
	"opalbridge.dev/gateway/quarantine"
)

// discardReports is a Publisher that drops everything.
type discardReports struct{}

func (discardReports) PublishCrash(peer.Crash)      {}
func (discardReports) PublishCleared(peer.Cleared)  {}
func (discardReports) PublishPartAnswered(peer.Key) {}

// benchmarkPrompt is a prompt of five parts.
func benchmarkPrompt() []protocol.Part {
	var prompt []protocol.Part
	for n := range 5 {
		prompt = append(prompt, protocol.Part{ID: fmt.Sprintf("%016x", n*7919), Tokens: 500})
	}
	return prompt
}

// BenchmarkPartsAnswered measures what a prompt's parts add to an answered request.
func BenchmarkPartsAnswered(b *testing.B) {
	for _, crashed := range []bool{false, true} {
		b.Run(fmt.Sprintf("crashes=%t", crashed), func(b *testing.B) {
			s := NewTracker(zerolog.Nop(), "10.0.0.1", func() int { return 10 })
			s.Peers = discardReports{}
			prompt, now := benchmarkPrompt(), time.Unix(1000, 0)
			if crashed {
				s.ServerCrashed(now, "i-1", []Request{{Key: quarantine.Key{1}, Parts: PromptParts("other", "m", prompt)}})
			}
			b.ReportAllocs()
			for b.Loop() {
				s.PartsAnswered(now, "s", "m", prompt)
			}
		})
	}
}

// BenchmarkExamine measures what a request costs while suspects are known.
func BenchmarkExamine(b *testing.B) {
	s := NewTracker(zerolog.Nop(), "10.0.0.1", func() int { return 10 })
	s.Peers = discardReports{}
	prompt, now := benchmarkPrompt(), time.Unix(1000, 0)
	s.ServerCrashed(now, "i-1", []Request{{Key: quarantine.Key{1}, Parts: PromptParts("s", "m", prompt)}})
	b.ReportAllocs()
	for b.Loop() {
		s.Examine(Subjects{Request: quarantine.Key{2}, Account: "a", Parts: PromptParts("s", "m", prompt)})
	}
}
