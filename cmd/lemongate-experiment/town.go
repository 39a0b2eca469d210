package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"lemongate/internal/processharness"
)

// The town: three limiters and six backends on loopback.
const (
	townLimiters, townBackends = 3, 6
	townAnswer                 = 30 * time.Millisecond // what a backend takes
	slowest                    = 10 * time.Second      // that the histogram tells apart
)

// townCommand plays a small tier of real processes, so that one sees a limiter at work.
func townCommand() *cli.Command {
	return &cli.Command{
		Name: "town", Usage: "play three limiters, six backends, discovery and clients on this machine, and kill a backend in the middle",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "how long", Value: 20 * time.Second},
			&cli.Float64Flag{Name: "rate", Usage: "reqs a second of all clients", Value: 200},
			&cli.StringFlag{Name: "program", Usage: "the limiter's `FILE`; by default lemongate beside this program"},
		},
		Action: town,
	}
}

// tally is what came of the reqs of some time.
type tally struct {
	all, served, refused, failed, lost int
	took                               *hdrhistogram.Histogram
}

func newTally() *tally {
	return &tally{took: hdrhistogram.New(1, slowest.Microseconds(), 3)}
}

func (y *tally) add(r processharness.Result) {
	y.all++
	switch {
	case r.Status == 0:
		y.lost++
	case r.Status == 200:
		y.served++
		y.took.RecordValue(min(r.Took.Microseconds(), slowest.Microseconds()))
	case r.Status == 429 || r.Status == 503:
		y.refused++
	default:
		y.failed++
	}
}

func (y *tally) row(what string, seconds float64, up int) string {
	ms := func(q float64) float64 { return float64(y.took.ValueAtQuantile(q)) / 1e3 }
	return fmt.Sprintf("%8s %8.0f %8d %8d %8d %6d %8.1f %8.1f %5d", what, float64(y.all)/seconds, y.served, y.refused, y.failed,
		y.lost, ms(50), ms(99), up)
}

func town(ctx context.Context, cmd *cli.Command) error {
	program, err := limiterProgram(cmd)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	out := cmd.Root().Writer
	h := newHost(out)
	return h.run(context.Background(), func() error {
		return play(ctx, h, out, program, cmd.Duration("for"), cmd.Float64("rate"))
	})
}

// play is the town's day.
func play(ctx context.Context, h *host, out io.Writer, program string, length time.Duration, rate float64) error {
	x := processharness.New(h, townLimiters, townBackends, program, "serve", "--log-level", "error")
	x.Plans = append(x.Plans, processharness.Plan{Name: "capped", Rate: rate / 10, Burst: rate / 5})
	for _, b := range x.Backends {
		b.Delay(townAnswer)
	}
	for _, l := range x.Limiters {
		l.Start().Await(h)
	}
	fmt.Fprintf(out, "%d limiters, %d backends; a fifth of the reqs is one customer's, who asks for twice its quota\n", townLimiters, townBackends)
	fmt.Fprintf(out, "%8s %8s %8s %8s %8s %6s %8s %8s %5s\n", "second", "req/s", "served", "refused", "failed", "lost", "p50 ms", "p99 ms", "up")
	var mu sync.Mutex
	second, whole := newTally(), newTally()
	load := x.Begin(rate, func(n int) processharness.Req {
		q := processharness.Req{Limiter: n % townLimiters, Class: "read", Plan: "free", Customer: uint64(100 + n%50), Spread: townLimiters}
		switch n % 10 {
		case 0, 5:
			q.Plan, q.Customer = "capped", 7
		case 3:
			q.Class, q.Key, q.Body = "post", fmt.Sprintf("%032x", n), 500
		}
		return q
	})
	load.Each(func(r processharness.Result) {
		mu.Lock()
		defer mu.Unlock()
		second.add(r)
		whole.add(r)
	})
	up, begin := townBackends, time.Now()
	kill, back := int(length.Seconds()/3), int(length.Seconds()*2/3)
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for n := 1; time.Since(begin) < length && ctx.Err() == nil; n++ {
		select {
		case <-ctx.Done():
		case <-tick.C:
		}
		mu.Lock()
		fmt.Fprintln(out, second.row(fmt.Sprint(n), 1, up))
		second = newTally()
		mu.Unlock()
		switch n {
		case kill:
			x.Backends[0].Down(true)
			up--
			fmt.Fprintln(out, "         a backend is killed")
		case back:
			x.Backends[0].Down(false)
			up++
			fmt.Fprintln(out, "         it is back")
		}
	}
	load.End()
	fmt.Fprintln(out, whole.row("in all", time.Since(begin).Seconds(), up))
	if whole.lost > 0 {
		return fmt.Errorf("town: %d reqs had no answer", whole.lost)
	}
	return nil
}
