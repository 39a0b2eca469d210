package core

// This file reloads the configuration on request. Only the address of discovery may change while the
// program runs.

// reloadState is the reload that is under way.
type reloadState struct {
	running bool
	again   bool // requested once more: the file may have changed since it was read
}

// reloadConfig has the configuration read again, by one reader at a time. It may be requested in any
// phase but the last: a process that shuts down still needs the endpoint list.
func (m *Machine) reloadConfig() {
	m.reload.again = m.reload.running
	if m.reload.running || m.phase == Stopped {
		return
	}
	m.reload.running = true
	m.emit(ReloadConfig{})
}

// onConfigReloaded watches the endpoint list where the configuration says now. The list stays as it is
// until the new address brings one. A configuration that could not be read changes nothing.
func (m *Machine) onConfigReloaded(ev *ConfigReloaded) {
	m.reload.running = false
	switch {
	case ev.Err != nil:
		m.counters.ReloadsFailed++
		m.logf("kept the configuration that runs: %v", ev.Err)
	case ev.Discovery != m.endpoints.discovery:
		m.counters.Reloads++
		m.endpoints.discovery = ev.Discovery
		m.emit(WatchEndpoints{Addr: ev.Discovery})
		m.logf("configuration reloaded, endpoints watched at %s", ev.Discovery)
	default:
		m.counters.Reloads++
		m.logf("configuration reloaded, address of discovery unchanged")
	}
	if m.reload.again {
		m.reloadConfig()
	}
}
