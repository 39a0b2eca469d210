package simulation

// faultStarters starts each kind of fault, for the limiters and backends that it names, and schedules its
// end.
var faultStarters = map[FaultKind]func(*world, Fault){
	FaultPartition:      (*world).startPartition,
	FaultMute:           (*world).startMute,
	FaultDeaf:           (*world).startDeaf,
	FaultLoss:           (*world).startLoss,
	FaultClock:          (*world).changeClocks,
	FaultStall:          (*world).startStall,
	FaultRestart:        (*world).restartLimiters,
	FaultHotRestart:     (*world).hotRestartLimiters,
	FaultRollingRestart: (*world).startRollingRestart,
	FaultBackendCrash:   (*world).crashBackends,
	FaultBackendRefuses: (*world).startRefusing,
	FaultBackendSilent:  (*world).startSilence,
}

// startFault starts a fault, and schedules the next time that it does.
func (w *world) startFault(f Fault) {
	resolved := f
	resolved.Limiters = w.faultLimiters(f)
	resolved.Backends = w.faultBackends(f)
	if begin := faultStarters[f.Kind]; begin != nil {
		begin(w, resolved)
	}
	if w.repeats(f) {
		w.after(seconds(f.Every), func() { w.startFault(f) })
	}
}

// repeats reports whether a fault that starts now is to start again. A restart does so within For, if that
// is set.
func (w *world) repeats(f Fault) bool {
	next := w.now + seconds(f.Every)
	if f.Every <= 0 || next >= w.end {
		return false
	}
	return f.Kind != FaultRestart || f.For <= 0 || next <= start+seconds(f.At+f.For)
}

// faultLimiters are the numbers of the limiters that a fault is for.
func (w *world) faultLimiters(f Fault) []int {
	switch f.Role {
	case "":
		return f.Limiters
	case RoleHolder:
		if holder := w.leaseHolder(); holder >= 0 {
			return []int{holder}
		}
		return nil
	}
	acceptors := w.scenario.Acceptors()
	if f.Role == RoleOneAcceptor {
		return acceptors[w.random.IntN(len(acceptors)):][:1]
	}
	return acceptors
}

// faultBackends are the numbers of the backends that a fault is for.
func (w *world) faultBackends(f Fault) []int {
	if f.Zone <= 0 {
		return f.Backends
	}
	var list []int
	for n := f.Zone - 1; n < len(w.backends); n += max(w.scenario.Zones, 1) {
		list = append(list, n)
	}
	return list
}

// forLimiters calls a function with the current process of each limiter of a fault.
func (w *world) forLimiters(numbers []int, do func(*limiter)) {
	for _, n := range numbers {
		if n >= 0 && n < len(w.limiters) {
			do(w.limiters[n])
		}
	}
}

// forBackends calls a function with each backend of a fault.
func (w *world) forBackends(numbers []int, do func(*backend)) {
	for _, n := range numbers {
		if n >= 0 && n < len(w.backends) {
			do(w.backends[n])
		}
	}
}

func (w *world) startPartition(f Fault) {
	for partition, group := range f.Groups {
		w.forLimiters(group, func(l *limiter) { l.partition = partition })
	}
	for _, way := range f.LostWays {
		w.lostWays[[2]int{way[0], way[1]}] = true
	}
	w.after(seconds(f.For), func() {
		for _, l := range w.limiters {
			l.partition = 0
		}
		clear(w.lostWays)
	})
}

func (w *world) startMute(f Fault) {
	w.forLimiters(f.Limiters, func(l *limiter) { l.muted = true })
	w.after(seconds(f.For), func() {
		w.forLimiters(f.Limiters, func(l *limiter) { l.muted = false })
	})
}

func (w *world) startDeaf(f Fault) {
	w.forLimiters(f.Limiters, func(l *limiter) { l.deaf = true })
	w.after(seconds(f.For), func() {
		w.forLimiters(f.Limiters, func(l *limiter) { l.deaf = false })
	})
}

func (w *world) startLoss(f Fault) {
	usual := w.scenario.Network.Loss
	w.scenario.Network.Loss = f.Rate
	w.after(seconds(f.For), func() { w.scenario.Network.Loss = usual })
}

// changeClocks changes the rates of clocks, which show the same time just after it.
func (w *world) changeClocks(f Fault) {
	w.forLimiters(f.Limiters, func(l *limiter) {
		before := l.clock()
		l.clockRate = f.Rate
		l.clockOffset += before - l.clock()
	})
}

func (w *world) startStall(f Fault) {
	until := w.now + seconds(f.For)
	w.forLimiters(f.Limiters, func(l *limiter) {
		l.stalledUntil = until
		w.at(until, l.handleStalledEvents)
	})
}

// handleStalledEvents handles what arrived during a stall, as far as the limiter is not stalled again.
func (l *limiter) handleStalledEvents() {
	for len(l.stalledEvents) > 0 && l.world.now >= l.stalledUntil {
		handle := l.stalledEvents[0]
		l.stalledEvents = l.stalledEvents[1:]
		handle()
	}
}

func (w *world) restartLimiters(f Fault) {
	w.forLimiters(f.Limiters, func(l *limiter) {
		l.kill()
		w.after(seconds(f.Down), l.bootIfDown)
	})
}

func (w *world) hotRestartLimiters(f Fault) {
	w.forLimiters(f.Limiters, func(l *limiter) { w.startHotRestart(l, f) })
}

func (w *world) startRollingRestart(f Fault) {
	w.forLimiters(f.Limiters, func(l *limiter) { w.requestRestart(l.number, seconds(f.Down)) })
}

func (w *world) crashBackends(f Fault) {
	w.forBackends(f.Backends, func(b *backend) {
		b.crash()
		w.after(seconds(f.For), b.boot)
	})
}

func (w *world) startRefusing(f Fault) {
	w.forBackends(f.Backends, func(b *backend) {
		b.refuses = true
		w.after(seconds(f.For), func() { b.refuses = false })
	})
}

func (w *world) startSilence(f Fault) {
	w.forBackends(f.Backends, func(b *backend) {
		b.fallSilent()
		w.after(seconds(f.For), func() { b.silent = false })
	})
}
