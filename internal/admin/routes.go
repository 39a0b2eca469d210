package admin

import (
	"net/http"
	"strconv"

	jsoniter "github.com/json-iterator/go"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lemongate/internal/core"
	"lemongate/internal/lease"
)

// This file answers the calls. Scripts read the paths, statuses and bodies, which keep the wording of release 0.8.0.

// routes returns the handler of all calls.
func (s *Server) routes(sources Sources) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(&collector{
		published: &s.published, attemptsWritten: sources.AttemptsWritten, resources: sources.Resources,
	})
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthcheck", s.handleHealth)
	mux.Handle("GET /stats", promhttp.HandlerFor(registry, promhttp.HandlerOpts{DisableCompression: true}))
	mux.HandleFunc("GET /leases", s.handleLeases)
	mux.HandleFunc("GET /turn", s.handleRestartSlot)
	mux.HandleFunc("POST /turn", s.handleRestartSlot)
	mux.HandleFunc("DELETE /turn", s.handleRestartSlot)
	return mux
}

// handleHealth reports whether this process accepts clients.
func (s *Server) handleHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "takes no clients", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("takes clients\n")) // a failed write means that the caller has disconnected
}

// handleLeases returns the leases as known to this limiter.
func (s *Server) handleLeases(w http.ResponseWriter, _ *http.Request) {
	views := s.published.Load().Leases
	if views == nil {
		views = []lease.View{}
	}
	writeJSON(w, http.StatusOK, views)
}

// handleRestartSlot returns the restart slots as known to this limiter, and posts an operator's request. POST
// requests a slot for this limiter; with forget=N it releases the slot of limiter N, which will not start again.
// DELETE releases the slot of this limiter or withdraws its request.
func (s *Server) handleRestartSlot(w http.ResponseWriter, r *http.Request) {
	view := s.published.Load().RestartSlots
	if !view.Enabled {
		http.Error(w, "no turns at restarts are set", http.StatusNotFound)
		return
	}
	if r.Method == http.MethodGet || r.Method == http.MethodHead { // the mux routes HEAD to the handler of GET
		writeJSON(w, http.StatusOK, view)
		return
	}
	event, valid := restartSlotEvent(r)
	if !valid {
		http.Error(w, "forget: want the number of a limiter, by POST", http.StatusBadRequest)
		return
	}
	s.post(event)
	writeJSON(w, http.StatusAccepted, view)
}

// restartSlotEvent returns the event for a call that changes restart slots, and whether the call is valid.
func restartSlotEvent(r *http.Request) (event core.Event, valid bool) {
	text := r.URL.Query().Get("forget")
	if text == "" {
		return core.RestartSlotRequested{Wanted: r.Method == http.MethodPost}, true
	}
	limiter, err := strconv.ParseUint(text, 10, 16)
	if err != nil || r.Method != http.MethodPost {
		return nil, false
	}
	return core.RestartSlotReleased{Limiter: int(limiter)}, true
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = jsoniter.NewEncoder(w).Encode(value) // a failed write means that the caller has disconnected
}
