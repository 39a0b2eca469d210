package core

// This file reloads the configuration on request. Only the discovery address may change while the program runs.

// reloadState is the state of the reload in progress, if there is one.
type reloadState struct {
	inProgress     bool
	requestedAgain bool // requested again meanwhile: the file may have changed since it was read
}

// reloadConfig requests that the configuration is reread; one read is in progress at a time. It may be called in any
// phase but the last: a process that shuts down still needs the endpoint list.
func (m *Machine) reloadConfig() {
	m.reload.requestedAgain = m.reload.inProgress
	if m.reload.inProgress || m.phase == Stopped {
		return
	}
	m.reload.inProgress = true
	m.emit(ReloadConfig{})
}

// onConfigReloaded watches the endpoint list at the address of the new configuration. The list does not change
// until the new address has sent one. A configuration that could not be read changes nothing.
func (m *Machine) onConfigReloaded(ev *ConfigReloaded) {
	m.reload.inProgress = false
	switch {
	case ev.Err != nil:
		m.counters.ReloadsFailed++
		m.logf("failed to reload the configuration, keeping the current one: %v", ev.Err)
	case ev.Discovery != m.endpoints.discovery:
		m.counters.Reloads++
		m.endpoints.discovery = ev.Discovery
		m.emit(WatchEndpoints{Addr: ev.Discovery})
		m.logf("configuration reloaded, endpoint list is now watched at %s", ev.Discovery)
	default:
		m.counters.Reloads++
		m.logf("configuration reloaded, discovery address unchanged")
	}
	if m.reload.requestedAgain {
		m.reloadConfig()
	}
}
