package processharness

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// watchPoll is the interval at which a watch checks whether the endpoint list has changed. If the list has not changed,
// the watch sends an empty line.
const watchPoll = 500 * time.Millisecond

// discovery is a fake endpoint discovery service.
type discovery struct {
	tier   *Tier
	server *httptest.Server

	mu       sync.Mutex
	watches  []chan struct{} // closed to end a watch
	unlisted map[*Backend]bool
	changes  int // number of changes of the list
}

// newDiscovery starts a discovery service that is closed when the host ends.
func newDiscovery(tier *Tier) *discovery {
	d := &discovery{tier: tier, unlisted: map[*Backend]bool{}}
	d.server = httptest.NewServer(http.HandlerFunc(d.serveWatch))
	tier.Host.Cleanup(d.close)
	return d
}

// close ends all watches and the server.
func (d *discovery) close() {
	d.mu.Lock()
	for _, end := range d.watches {
		close(end)
	}
	d.watches = nil
	d.mu.Unlock()
	d.server.Close()
}

// addr returns the address at which the service listens.
func (d *discovery) addr() string { return strings.TrimPrefix(d.server.URL, "http://") }

// SetListed adds a backend to the endpoint list, or removes it.
func (tier *Tier) SetListed(b *Backend, listed bool) {
	d := tier.discovery
	d.mu.Lock()
	d.unlisted[b] = !listed
	d.changes++
	d.mu.Unlock()
}

// Replace ends the process of a backend and starts a new one at its address, which is listed under a new ID. The old one
// stays in the list, which is late. The attempts at both are recorded at the old one.
func (tier *Tier) Replace(old *Backend) {
	old.server.CloseClientConnections()
	d := tier.discovery
	d.mu.Lock()
	defer d.mu.Unlock()
	tier.Backends = append(tier.Backends, &Backend{
		ID: old.ID + "-new", addr: old.addr, server: old.server, tier: tier, startedAt: time.Now(),
	})
	d.changes++
}

// changeCount returns how many times the list has changed.
func (d *discovery) changeCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changes
}

// instances returns the endpoint list in the form in which discovery sends it.
func (d *discovery) instances() []map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []map[string]any
	for _, b := range d.tier.Backends {
		if d.unlisted[b] {
			continue
		}
		list = append(list, map[string]any{
			"instanceId":  b.ID,
			"hostPort":    b.addr,
			"zone":        "a",
			"cell":        1,
			"lifecycle":   "up",
			"weight":      1.0,
			"startedAtMs": b.startedAtMS(),
		})
	}
	return list
}

// generation returns the generation of the list after a number of changes.
func generation(changes int) int { return changes + 1 }

// snapshot returns the endpoint list with its generation after a number of changes. reset tells the client to replace
// the list that it has.
func (d *discovery) snapshot(changes int, reset bool) map[string]any {
	return map[string]any{"generation": generation(changes), "reset": reset, "instances": d.instances()}
}

// serveWatch sends the list at once, with reset set unless the client states the current generation. It then checks the
// list at each watchPoll, and sends the new list after a change and an empty line otherwise.
func (d *discovery) serveWatch(w http.ResponseWriter, r *http.Request) {
	sentChanges := d.changeCount()
	isUpToDate := r.URL.Query().Get("index") == fmt.Sprint(generation(sentChanges))
	writeSnapshot(w, d.snapshot(sentChanges, !isUpToDate))
	end := make(chan struct{})
	d.mu.Lock()
	d.watches = append(d.watches, end)
	d.mu.Unlock()
	for {
		select {
		case <-end:
			return
		case <-r.Context().Done():
			return
		case <-time.After(watchPoll):
		}
		changes := d.changeCount()
		if changes == sentChanges {
			writeKeepalive(w)
			continue
		}
		sentChanges = changes
		writeSnapshot(w, d.snapshot(sentChanges, true))
	}
}

func writeSnapshot(w http.ResponseWriter, snapshot map[string]any) {
	_ = json.NewEncoder(w).Encode(snapshot) // if the client has disconnected, the context of the request ends the watch
	w.(http.Flusher).Flush()
}

func writeKeepalive(w http.ResponseWriter) {
	_, _ = io.WriteString(w, "\n") // see writeSnapshot
	w.(http.Flusher).Flush()
}
