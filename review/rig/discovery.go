package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// Discovery is a stand-in for discovery, whose list never changes.
type Discovery struct {
	Addr string
	list []byte
}

// StartDiscovery lists servers at the given addresses, all of them up for long.
func StartDiscovery(servers ...string) (*Discovery, error) {
	var instances []map[string]any
	for i, addr := range servers {
		instances = append(instances, map[string]any{
			"instanceId": "s-" + string(rune('a'+i)), "hostPort": addr, "zone": "hall-a", "machineType": "std-2c", "cell": 0,
			"lifecycle": "up", "weight": 1.0, "startedAtMs": 0,
		})
	}
	list, err := json.Marshal(map[string]any{"generation": 41, "reset": true, "instances": instances})
	if err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: listener.Addr().String(), list: list}
	go func() { _ = http.Serve(listener, http.HandlerFunc(d.serve)) }()
	return d, nil
}

// serve answers a call for the list, or a watch: the list if the caller does not have it, then an empty line every 2 s.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	query := r.URL.Query()
	if query.Get("stream") != "1" {
		_, _ = w.Write(d.list)
		return
	}
	if query.Get("index") != "41" {
		_, _ = w.Write(append(append([]byte(nil), d.list...), '\n'))
	}
	controller := http.NewResponseController(w)
	for {
		if controller.Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
			_, _ = w.Write([]byte("\n"))
		}
	}
}
