package discovery

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"

	"lemongate/internal/admission"
	"lemongate/internal/core"
)

// This file decodes endpoint lists. The JSON names are defined by the platform.

// A message is a complete endpoint list or a change to it.
type message struct {
	Generation int64      `json:"generation"`
	Complete   bool       `json:"reset"`
	Instances  []instance `json:"instances"`
}

type instance struct {
	ID          string  `json:"instanceId"`
	Addr        string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	Cell        int     `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"startedAtMs"` // Unix time in ms; 0 if the backend started long ago
}

var (
	errNoInstances  = errors.New("endpoint list: complete list without instances")
	errNoInstanceID = errors.New("endpoint list: instance without instanceId")
)

// Decode decodes one message, and also returns the generation of the list. Origin is the time at which the program's
// clock was at zero. Decode fails on malformed JSON, on a complete list without instances, on an instance without an
// ID, and on an instance that is up and whose address is not host:port. The error text has one line.
func Decode(data []byte, origin time.Time) (list *core.EndpointsUpdated, generation int64, err error) {
	var m message
	if err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(data, &m); err != nil {
		return nil, 0, jsonError(err)
	}
	list, err = m.endpoints(convertFrom(origin))
	return list, m.Generation, err
}

// jsonError converts an error of the JSON decoder to an error whose text has one line.
func jsonError(err error) error {
	return fmt.Errorf("endpoint list: bad JSON: %s", strings.ReplaceAll(err.Error(), "\n", " "))
}

// ids returns the IDs of the backends that the message names.
func (m *message) ids() map[string]bool {
	ids := make(map[string]bool, len(m.Instances))
	for i := range m.Instances {
		ids[m.Instances[i].ID] = true
	}
	return ids
}

// endpoints converts the message to an event.
func (m *message) endpoints(convert startConverter) (*core.EndpointsUpdated, error) {
	if m.Complete && m.Instances == nil {
		return nil, errNoInstances
	}
	list := &core.EndpointsUpdated{Kind: admission.ListDelta, Generation: m.Generation}
	if m.Complete {
		list.Kind = admission.ListComplete
	}
	for i := range m.Instances {
		endpoint, err := m.Instances[i].endpoint(convert)
		if err != nil {
			return nil, err
		}
		list.Endpoints = append(list.Endpoints, endpoint)
	}
	return list, nil
}

func (x *instance) endpoint(convert startConverter) (core.Endpoint, error) {
	if x.ID == "" {
		return core.Endpoint{}, errNoInstanceID
	}
	state := x.state()
	if _, _, err := net.SplitHostPort(x.Addr); err != nil && state == admission.Live {
		return core.Endpoint{}, fmt.Errorf("endpoint list: instance %q: %w", x.ID, err)
	}
	endpoint := core.Endpoint{Addr: x.Addr, Backend: admission.Backend{
		ID: x.ID, Zone: x.Zone, Cell: x.Cell, State: state, RelativeCapacity: x.Weight,
	}}
	if x.StartedAtMS > 0 {
		endpoint.StartedAt = convert(x.ID, time.UnixMilli(x.StartedAtMS))
	}
	return endpoint, nil
}

// state returns the state of the backend. An unknown lifecycle counts as draining: a value that a later version adds
// must not invalidate the list, and a draining backend gets no new requests.
func (x *instance) state() admission.BackendState {
	switch x.Lifecycle {
	case "up":
		return admission.Live
	case "removed":
		return admission.Removed
	}
	return admission.Draining
}
