package simulation

// faultStarters maps each kind of fault to the function that starts it, for the limiters and backends that the
// fault names, and schedules its end.
var faultStarters = map[FaultKind]func(*world, Fault){
	FaultPartition:           (*world).startPartition,
	FaultOutgoingLoss:        (*world).startOutgoingLoss,
	FaultIncomingLoss:        (*world).startIncomingLoss,
	FaultLoss:                (*world).startLoss,
	FaultClock:               (*world).changeClocks,
	FaultStall:               (*world).startStall,
	FaultRestart:             (*world).restartLimiters,
	FaultHotRestart:          (*world).hotRestartLimiters,
	FaultRollingRestart:      (*world).startRollingRestart,
	FaultBackendCrash:        (*world).crashBackends,
	FaultBackendRefuses:      (*world).startRefusing,
	FaultBackendUnresponsive: (*world).startUnresponsive,
}

// startFault starts a fault and schedules its next start.
func (w *world) startFault(f Fault) {
	resolved := f
	resolved.Limiters = w.faultLimiters(f)
	resolved.Backends = w.faultBackends(f)
	if starter := faultStarters[f.Kind]; starter != nil {
		starter(w, resolved)
	}
	if w.repeats(f) {
		w.after(seconds(f.Every), func() { w.startFault(f) })
	}
}

// repeats reports whether a fault that starts now is to start again before the end of the run. A restart for which
// For is set repeats only within that time.
func (w *world) repeats(f Fault) bool {
	next := w.now + seconds(f.Every)
	if f.Every <= 0 || next >= w.end {
		return false
	}
	return f.Kind != FaultRestart || f.For <= 0 || next <= runStart+seconds(f.At+f.For)
}

// faultLimiters returns the numbers of the limiters that a fault affects.
func (w *world) faultLimiters(f Fault) []int {
	switch f.Role {
	case "":
		return f.Limiters
	case RoleLeaseHolder:
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

// faultBackends returns the numbers of the backends that a fault affects.
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
	for _, direction := range f.LostDirections {
		w.lostDirections[[2]int{direction[0], direction[1]}] = true
	}
	w.after(seconds(f.For), func() {
		for _, l := range w.limiters {
			l.partition = 0
		}
		clear(w.lostDirections)
	})
}

func (w *world) startOutgoingLoss(f Fault) {
	w.forLimiters(f.Limiters, func(l *limiter) { l.dropsOutgoing = true })
	w.after(seconds(f.For), func() {
		w.forLimiters(f.Limiters, func(l *limiter) { l.dropsOutgoing = false })
	})
}

func (w *world) startIncomingLoss(f Fault) {
	w.forLimiters(f.Limiters, func(l *limiter) { l.dropsIncoming = true })
	w.after(seconds(f.For), func() {
		w.forLimiters(f.Limiters, func(l *limiter) { l.dropsIncoming = false })
	})
}

func (w *world) startLoss(f Fault) {
	configuredLoss := w.scenario.Network.Loss
	w.scenario.Network.Loss = f.Rate
	w.after(seconds(f.For), func() { w.scenario.Network.Loss = configuredLoss })
}

// changeClocks changes the rates of clocks. The time that a clock shows does not jump.
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

// handleStalledEvents handles the events that arrived during a stall, until the limiter is stalled again.
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
		b.refusesConnections = true
		w.after(seconds(f.For), func() { b.refusesConnections = false })
	})
}

func (w *world) startUnresponsive(f Fault) {
	w.forBackends(f.Backends, func(b *backend) {
		b.stopResponding()
		w.after(seconds(f.For), func() { b.unresponsive = false })
	})
}
