package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/engine/enginetest"
)

// fastModel returns a simulated model server that answers almost without delay.
func fastModel() *enginetest.Model {
	return enginetest.NewModel(enginetest.ModelOptions{
		Models: []string{devModel}, Slots: 4096, PrefillPerToken: time.Nanosecond, DecodeStep: time.Microsecond, DecodePerRequest: time.Nanosecond,
	})
}

// startFastFleet starts a dev fleet with the given model servers.
func startFastFleet(b testing.TB, slots int, model func() http.Handler) *devFleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &devFleet{ctx: ctx, model: model, slots: slots}
	require.NoError(b, f.start("127.0.0.1:0"))
	require.NoError(b, f.waitReady(context.Background()))
	b.Cleanup(func() { f.stop(cancel) })
	return f
}

func body(tokens int, stream bool) []byte {
	return fmt.Appendf(nil, `{"model":%q,"stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, devModel, stream, tokens)
}

// timeToFirstByte sends a request and returns the time to the first byte of the response
// body.
func timeToFirstByte(b testing.TB, client *http.Client, url, key string, content []byte) time.Duration {
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(content))
	require.NoError(b, err)
	r.Header.Set("Authorization", "Bearer "+key)
	start := time.Now()
	answer, err := client.Do(r)
	require.NoError(b, err)
	one := make([]byte, 1)
	_, err = io.ReadFull(answer.Body, one)
	took := time.Since(start)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, answer.Body)
	require.NoError(b, err)
	answer.Body.Close()
	return took
}

func percentile(d []time.Duration, p int) float64 {
	slices.Sort(d)
	return float64(d[len(d)*p/100]) / float64(time.Millisecond)
}

// BenchmarkFirstByte measures the latency that the fleet adds to the first byte. It
// alternates requests through the fleet with requests sent directly to the model server.
func BenchmarkFirstByte(b *testing.B) {
	f := startFastFleet(b, 64, func() http.Handler { return fastModel() })
	model := httptest.NewServer(fastModel())
	defer model.Close()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	content := body(4, true)
	var proxied, direct []time.Duration
	for b.Loop() {
		proxied = append(proxied, timeToFirstByte(b, client, f.callers[0], f.keys[0], content))
		direct = append(direct, timeToFirstByte(b, client, model.URL, "", content))
	}
	const p50, p99 = 50, 99
	b.ReportMetric(percentile(proxied, p50)-percentile(direct, p50), "added-p50-ms")
	b.ReportMetric(percentile(proxied, p99)-percentile(direct, p99), "added-p99-ms")
	b.ReportMetric(percentile(direct, p50), "direct-p50-ms")
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkThroughput counts requests and tokens for each second of CPU time, which router,
// agent, model server and client share.
func BenchmarkThroughput(b *testing.B) {
	for _, tokens := range []int{1, 200} {
		b.Run(fmt.Sprint(tokens, " tokens"), func(b *testing.B) {
			f := startFastFleet(b, 256, func() http.Handler { return fastModel() })
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
			content := body(tokens, true)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			startCPU := cpuTime()
			b.SetParallelism(4)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					timeToFirstByte(b, client, f.callers[0], f.keys[0], content)
				}
			})
			spent := (cpuTime() - startCPU).Seconds()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(b.N)/spent, "requests/cpu-s")
			b.ReportMetric(float64(b.N*tokens)/spent, "tokens/cpu-s")
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N), "B-allocated/request")
		})
	}
}

// idleModel returns a model server that sends one event and then keeps the stream open.
func idleModel() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/load" {
			fmt.Fprint(w, `{}`)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, "data: {}\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
}

// BenchmarkIdleStreams measures the memory of idle open streams, including that of client
// and model server.
func BenchmarkIdleStreams(b *testing.B) {
	for _, streams := range []int{1000, 4000} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(idleStreams(b, streams)/float64(streams)/1024, "KiB/stream")
			}
		})
	}
}

func idleStreams(b testing.TB, streams int) float64 {
	f := startFastFleet(b, 4096, idleModel)
	client := &http.Client{Transport: &http.Transport{}}
	ctx, cancel := context.WithCancel(context.Background())
	before := memoryInUse()
	var open sync.WaitGroup
	for range streams {
		open.Go(func() {
			r, _ := http.NewRequestWithContext(ctx, http.MethodPost, f.callers[0]+"/v1/chat/completions", bytes.NewReader(body(1, true)))
			r.Header.Set("Authorization", "Bearer "+f.keys[0])
			answer, err := client.Do(r)
			if err == nil {
				_, _ = io.ReadFull(answer.Body, make([]byte, 1))
			}
		})
	}
	open.Wait()
	after := memoryInUse()
	cancel()
	return after - before
}

func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}
