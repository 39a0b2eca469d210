package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"testing"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/lease"
	"lemongate/internal/processharness"
)

// newTier creates a tier of limiters with hot restart enabled.
func newTier(t *testing.T, limiters, backends int) *processharness.Tier {
	t.Helper()
	operator := t.TempDir() + "/operator.json"
	if err := os.WriteFile(operator, []byte(`{"takeover":{"on":true,"silence_ms":300}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	tier := processharness.New(t, limiters, backends, os.Args[0], "serve", "--operator", operator)
	tier.Env = []string{"LEMONGATE_TEST=serve"}
	return tier
}

// startAll starts a process of each limiter, and waits until all of them are ready.
func startAll(t *testing.T, tier *processharness.Tier) (list []*processharness.Process) {
	t.Helper()
	for _, l := range tier.Limiters {
		list = append(list, l.Start())
	}
	for _, p := range list {
		p.AwaitHealthy(t)
	}
	return list
}

// checkResults checks that each request got a complete response, of a backend or local, that no request with an
// idempotency key was executed again, and that few requests reached backends more than once. It returns how many
// requests were served, and the longest time between two responses to such requests.
func checkResults(t *testing.T, tier *processharness.Tier, results []processharness.Result) (served int, gap time.Duration) {
	t.Helper()
	attempts, _ := tier.Attempts()
	// The settings allow three attempts; on a slow machine one may take so long that it is canceled
	// and another is started. A hot restart that forwarded requests twice would do so with all in flight.
	const maxAttempts = 3
	var lastServedAt time.Time
	failures, repeated := 0, 0
	for _, r := range results {
		switch {
		case r.ConnError != "":
			t.Errorf("limiter %d: no complete response after %v: %s", r.Limiter, r.Took, r.ConnError)
			failures++
		case r.Status == http.StatusOK && r.Body != fmt.Sprintf("%s %d", r.ID, r.Request.Body):
			t.Errorf("got response %q, want the request's ID and the length of its body", r.Body)
			failures++
		case r.Status != http.StatusOK && r.Status != http.StatusTooManyRequests:
			t.Errorf("limiter %d: got status %d after %v, want 200 or 429", r.Limiter, r.Status, r.Took)
			failures++
		case attempts[r.ID] > maxAttempts:
			t.Errorf("request %s reached backends %d times, want at most the 3 attempts that the settings allow", r.ID, attempts[r.ID])
			failures++
		case attempts[r.ID] > 1:
			repeated++
		}
		if r.Status == http.StatusOK {
			served++
			if at := r.SentAt.Add(r.Took); !lastServedAt.IsZero() {
				gap = max(gap, at.Sub(lastServedAt))
			}
			lastServedAt = r.SentAt.Add(r.Took)
		}
		if failures > 10 {
			t.Fatal("more than 10 requests failed; further ones are not listed")
		}
	}
	if n := tier.RepeatedExecutions(); n > 0 {
		t.Errorf("requests with an idempotency key were executed again %d times, want 0", n)
	}
	if repeated > 2+len(results)/8 {
		t.Errorf("%d of %d requests reached backends more than once, want at most an eighth and 2", repeated, len(results))
	}
	return served, gap
}

// p99 returns the 99th percentile of the latency of the served requests for which include returns true.
func p99(results []processharness.Result, include func(processharness.Result) bool) time.Duration {
	var latencies []time.Duration
	for _, r := range results {
		if include(r) && r.Status == http.StatusOK {
			latencies = append(latencies, r.Took)
		}
	}
	slices.Sort(latencies)
	if len(latencies) == 0 {
		return 0
	}
	return latencies[len(latencies)*99/100]
}

// checkCeiling checks the first attempts of customer 7 against a token bucket: at any time, no more of them have reached
// a backend than the bucket's burst and the units refilled since. An attempt takes up to inFlightSeconds to arrive, so
// the units refilled in that time are allowed on top.
func checkCeiling(t *testing.T, attempts []processharness.Attempt, rate, burst float64) {
	t.Helper()
	const customer, inFlightSeconds = "0000000000000007", 0.15
	level, last, counted := burst, time.Time{}, map[string]bool{}
	lowest, forwarded := burst, 0
	for _, attempt := range attempts {
		if attempt.Customer != customer || counted[attempt.CallID] {
			continue
		}
		counted[attempt.CallID] = true
		if !last.IsZero() {
			level = min(level+rate*attempt.ArrivedAt.Sub(last).Seconds(), burst)
		}
		last = attempt.ArrivedAt
		level--
		lowest = min(lowest, level)
		forwarded++
	}
	if lowest < -rate*inFlightSeconds {
		t.Errorf("the ceiling was exceeded by %.1f units in %d requests, want at most the units of inFlightSeconds", -lowest, forwarded)
	}
	if forwarded < 100 {
		t.Errorf("%d of the customer's requests were forwarded, want at least 100", forwarded)
	}
}

// startFailingProcess starts a process that acts as one side of a hot restart and fails at a step, both given by role.
func startFailingProcess(t *testing.T, tier *processharness.Tier, role string) *processharness.Process {
	t.Helper()
	env := tier.Env
	tier.Env = []string{"LEMONGATE_TEST=" + role}
	defer func() { tier.Env = env }()
	return tier.Limiters[0].Start()
}

// newTierWithLeases creates a tier in which the holder of a lease makes the recovery attempts for all limiters.
func newTierWithLeases(t *testing.T, limiters, backends int) *processharness.Tier {
	t.Helper()
	operator := t.TempDir() + "/operator.json"
	text := `{"leases":{"on":true,"length_ms":1000,"keepers":3,"tasks":["trials"]}}`
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	tier := processharness.New(t, limiters, backends, os.Args[0], "serve", "--operator", operator)
	tier.Env = []string{"LEMONGATE_TEST=serve"}
	return tier
}

// recoveryLease returns the lease on recovery attempts as a limiter reports it, and whether the limiter responded and
// takes part in leases: one that closes has released them and reports none.
func recoveryLease(t *testing.T, p *processharness.Process) (v lease.View, ok bool) {
	t.Helper()
	out, err := run(t, "leases", "--json", "--console", p.AdminAddr)
	if err != nil {
		return v, false // the process may be suspended or killed
	}
	var views []lease.View
	err = jsoniter.UnmarshalFromString(out, &views)
	if err == nil && len(views) == 0 {
		processharness.WaitUntil(t, "the log line of a process that closes, which reports no lease", func() bool { return p.HasLogged("phase closing") })
		return v, false
	}
	if err != nil || len(views) != 1 {
		t.Fatalf("got leases %q, error %v; want one lease", out, err)
	}
	return views[0], true
}

// awaitHolder waits for a limiter that holds the lease on recovery attempts, and returns its number.
func awaitHolder(t *testing.T, processes []*processharness.Process) int {
	holder := -1
	processharness.WaitUntil(t, "a lease holder", func() bool {
		for i, p := range processes {
			if v, ok := recoveryLease(t, p); ok && v.Holds {
				holder = i
			}
		}
		return holder >= 0
	})
	return holder
}

// checkFencingTokens checks that the fencing tokens of the attempts that reached backends under a lease never decrease.
// It returns the number of lease holders. An attempt that is still in flight when the next limiter acquires the
// lease could arrive with a lower token, but a lease holder does not write the first byte of an attempt once its lease
// has ended (see core.StartAttempt.StartBefore).
func checkFencingTokens(t *testing.T, attempts []processharness.LeasedAttempt) (holders int) {
	t.Helper()
	for i, a := range attempts {
		if i > 0 && a.Token < attempts[i-1].Token {
			t.Errorf("attempt %d has token %d and came %v after one with token %d, want tokens that never decrease", i, a.Token, a.ArrivedAt.Sub(attempts[i-1].ArrivedAt), attempts[i-1].Token)
		}
		if i == 0 || a.Token != attempts[i-1].Token {
			holders++
		}
	}
	if !processharness.IsFencedLockHistory(attempts) {
		t.Error("the attempts under the lease are not a possible history of a lock with fencing tokens")
	}
	return holders
}

// counter returns the value of a counter in the last line of counters that a process logged.
func counter(t *testing.T, p *processharness.Process, name string) int {
	t.Helper()
	found := regexp.MustCompile(`"` + name + `":(\d+)`).FindStringSubmatch(p.LastLogged(`"msg":"counters"`))
	if found == nil {
		t.Fatal("the process logged no counter ", name)
	}
	n, _ := strconv.Atoi(found[1])
	return n
}

// checkAllAnswered checks that each request that a process counts as read, or as rejected because of the limit on
// connections, has one complete response, and that a request without a response was not read. It returns how many
// requests have no response.
func checkAllAnswered(t *testing.T, results []processharness.Result, p *processharness.Process) (unread int) {
	t.Helper()
	answered, connErrors := 0, map[string]int{}
	for _, r := range results {
		if r.Status != 0 {
			answered++
		} else {
			connErrors[regexp.MustCompile(`[0-9.]+:[0-9]+`).ReplaceAllString(r.ConnError, "")]++
			unread++
		}
	}
	if n := counter(t, p, "received") + counter(t, p, "full"); n != answered {
		t.Errorf("%d requests were read or rejected, but %d of %d were answered; errors of those without a response, without addresses: %v", n, answered, len(results), connErrors)
	}
	return unread
}

// newSingleLimiter creates a tier of one limiter without hot restart, and two backends.
func newSingleLimiter(t *testing.T) *processharness.Tier {
	t.Helper()
	tier := processharness.New(t, 1, 2, os.Args[0], "serve")
	tier.Env = []string{"LEMONGATE_TEST=serve"}
	for _, b := range tier.Backends {
		b.SetDelay(30 * time.Millisecond)
	}
	return tier
}

// mixedRequest returns the nth request of a load on three limiters: two in five are of customer 7 on the plan "capped",
// one in five has an idempotency key.
func mixedRequest(n int) processharness.Request {
	request := processharness.Request{Limiter: n % 3, Class: "read", Plan: "free", Customer: uint64(1000 + n%50), SetSize: 3}
	switch n % 5 {
	case 0, 1:
		request.Plan, request.Customer = "capped", 7
	case 2:
		request.Class, request.Key, request.Body = "post", fmt.Sprintf("%032x", n), 2000
	}
	return request
}
