package upstream

import (
	"reflect"
	"testing"
)

// An incomplete or invalid report yields no values, and fields that are not in the settings are ignored.
func TestParseLoadReport(t *testing.T) {
	fields := []string{"latency_ms", "util"}
	for text, want := range map[string][]float64{
		"TEXT latency_ms=12.5, util=0.61":         {12.5, 0.61},
		"TEXT util=0.61,latency_ms=12.5, queue=2": {12.5, 0.61},
		"TEXT latency_ms=12.5":                    nil,
		"TEXT latency_ms=x, util=0.61":            nil,
		"TEXT latency_ms=NaN, util=0.61":          nil,
		"latency_ms=12.5, util=0.61":              nil,
		"":                                        nil,
		"TEXT util=0.5, util=0.5":                 nil,
		"TEXT latency_ms=1, util=0.5, util=0.6":   nil,
		"TEXT latency_ms=-1, util=0.5":            nil,
		"TEXT latency_ms=1, util=-0.1":            nil,
		"TEXT latency_ms=1, util=61":              nil,
		"TEXT latency_ms=1e9, util=0.5":           nil,
		"TEXT ,=,,":                               nil,
		`JSON {"latency_ms": 12.5, "util": 0.61}`: nil,
	} {
		if got := parseLoadReport([]string{text}, fields); !reflect.DeepEqual(got, want) {
			t.Errorf("%q: got the values %v, want %v", text, got, want)
		}
	}
}
