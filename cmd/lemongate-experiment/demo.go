package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"lemongate/internal/processharness"
)

const (
	demoLimiters = 3
	demoBackends = 6
	// backendDelay is how long a backend takes to respond.
	backendDelay = 30 * time.Millisecond
	// maxLatency is the largest latency that the histogram records; longer ones count as this.
	maxLatency = 10 * time.Second
	// histogramDigits is the precision of the histogram, in significant digits.
	histogramDigits = 3
)

// The plan of the customer that requests twice its quota: it sends a fifth of all requests, and its plan's rate is a
// tenth of theirs.
const (
	cappedPlan     = "capped"
	cappedCustomer = 7
)

// demoCommand runs a small tier of real processes to show a limiter at work.
func demoCommand() *cli.Command {
	return &cli.Command{
		Name:    "demo",
		Aliases: []string{"town"},
		Usage:   "run three limiters, six backends, discovery and clients on this machine, and kill a backend after a third of the time",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "how long the demo runs", Value: 20 * time.Second},
			&cli.Float64Flag{Name: "rate", Usage: "requests per second of all clients", Value: 200},
			programFlag(),
		},
		Action: runDemo,
	}
}

// runDemo runs the demo for its duration, or until an interrupt.
func runDemo(ctx context.Context, cmd *cli.Command) error {
	program, err := limiterProgram(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	out := cmd.Root().Writer
	h := newHost(out)
	return h.run(context.Background(), func() error { // after an interrupt, the demo still prints its last line
		d := newDemo(h, out, program, cmd.Duration("for"), cmd.Float64("rate"))
		return d.run(ctx)
	})
}

// demo is a small tier with its clients.
type demo struct {
	out        io.Writer
	tier       *processharness.Tier
	duration   time.Duration
	rate       float64 // requests per second
	upBackends int     // number of backends that are up

	mu            sync.Mutex
	currentSecond *tally // results in the current second
	total         *tally // results in the whole run
}

// newDemo starts the limiters and backends of a demo. They end with the host.
func newDemo(h *host, out io.Writer, program string, duration time.Duration, rate float64) *demo {
	tier := processharness.New(h, demoLimiters, demoBackends, program, "serve", "--log-level", "error")
	tier.Plans = append(tier.Plans, processharness.Plan{Name: cappedPlan, Rate: rate / 10, Burst: rate / 5})
	for _, b := range tier.Backends {
		b.SetDelay(backendDelay)
	}
	for _, l := range tier.Limiters {
		l.Start().AwaitHealthy(h)
	}
	return &demo{
		out: out, tier: tier, duration: duration, rate: rate, upBackends: demoBackends,
		currentSecond: newTally(), total: newTally(),
	}
}

// run sends requests, prints a line every second, and at the end a line for the whole run.
func (d *demo) run(ctx context.Context) error {
	printf(d.out, "%d limiters, %d backends; one customer sends a fifth of the requests, at twice its quota\n",
		demoLimiters, demoBackends)
	printf(d.out, "%8s %8s %8s %8s %8s %6s %8s %8s %5s\n",
		"second", "req/s", "served", "rejected", "failed", "lost", "p50 ms", "p99 ms", "up")
	load := d.tier.StartLoad(d.rate, demoRequest)
	load.OnResult(d.record)
	begin := time.Now()
	d.printSeconds(ctx, begin)
	load.End()
	printf(d.out, "%s\n", d.total.row("in all", time.Since(begin).Seconds(), d.upBackends))
	if d.total.lost > 0 {
		return fmt.Errorf("demo: %d requests had no response", d.total.lost)
	}
	return nil
}

// demoRequest returns the request with number n.
func demoRequest(n int) processharness.Request {
	request := processharness.Request{
		Limiter:  n % demoLimiters,
		Class:    "read",
		Plan:     "free",
		Customer: uint64(100 + n%50),
		SetSize:  demoLimiters,
	}
	switch n % 10 {
	case 0, 5:
		request.Plan, request.Customer = cappedPlan, cappedCustomer
	case 3:
		request.Class, request.Key, request.Body = "post", fmt.Sprintf("%032x", n), 500
	}
	return request
}

// record counts a result.
func (d *demo) record(result processharness.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.currentSecond.add(result)
	d.total.add(result)
}

// printSeconds prints a line every second until the duration has passed or the context is done. It kills a backend after
// a third of the duration and restarts it after two thirds.
func (d *demo) printSeconds(ctx context.Context, begin time.Time) {
	killAt, restartAt := int(d.duration.Seconds()/3), int(d.duration.Seconds()*2/3)
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for n := 1; time.Since(begin) < d.duration && ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
		d.printSecond(n)
		switch n {
		case killAt:
			d.tier.Backends[0].SetDown(true)
			d.upBackends--
			printf(d.out, "         a backend is killed\n")
		case restartAt:
			d.tier.Backends[0].SetDown(false)
			d.upBackends++
			printf(d.out, "         it is back\n")
		}
	}
}

// printSecond prints the line of a second and starts the tally of the next second.
func (d *demo) printSecond(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	printf(d.out, "%s\n", d.currentSecond.row(fmt.Sprint(n), 1, d.upBackends))
	d.currentSecond = newTally()
}

// tally counts the results of requests over some time. A lost request has no response.
type tally struct {
	requests, served, rejected, failed, lost int
	latencies                                *hdrhistogram.Histogram // µs, of those served
}

func newTally() *tally {
	return &tally{latencies: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits)}
}

// add counts a result.
func (t *tally) add(r processharness.Result) {
	t.requests++
	switch r.Status {
	case 0:
		t.lost++
	case http.StatusOK:
		t.served++
		_ = t.latencies.RecordValue(min(r.Took.Microseconds(), maxLatency.Microseconds())) // within its range
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		t.rejected++
	default:
		t.failed++
	}
}

// row formats a tally as a line of the table.
func (t *tally) row(title string, seconds float64, up int) string {
	milliseconds := func(percentile float64) float64 { return float64(t.latencies.ValueAtQuantile(percentile)) / 1e3 }
	return fmt.Sprintf("%8s %8.0f %8d %8d %8d %6d %8.1f %8.1f %5d", title, float64(t.requests)/seconds,
		t.served, t.rejected, t.failed, t.lost, milliseconds(50), milliseconds(99), up)
}
