package upstream

import (
	"math"
	"slices"
	"strconv"
	"strings"
)

const (
	// loadReportFormat is the prefix of the only supported format of load reports.
	loadReportFormat = "TEXT "
	// utilizationField is the field for the fraction of a backend's cores in use.
	utilizationField = "util"
	// maxUtilization bounds the utilization field; the margin above 1 allows for noise.
	maxUtilization = 2
	// maxReportValue bounds all other fields, which are numbers of requests and latencies in ms. No backend
	// reaches such a value.
	maxReportValue = 1e6
)

// parseLoadReport parses "TEXT name=value, ..." and returns the values in the order of fields, in the units of the
// report. It returns nil unless there is exactly one report, which contains each field exactly once, with a plausible
// value. A response without a valid load report is still valid.
func parseLoadReport(texts []string, fields []string) []float64 {
	if len(texts) != 1 || len(fields) == 0 {
		return nil
	}
	text, ok := strings.CutPrefix(strings.TrimSpace(texts[0]), loadReportFormat)
	if !ok {
		return nil
	}
	values := make([]float64, len(fields))
	for i := range values {
		values[i] = math.NaN() // marks a missing field
	}
	for part := range strings.SplitSeq(text, ",") {
		name, valueText, _ := strings.Cut(strings.TrimSpace(part), "=")
		i := slices.Index(fields, name)
		if i < 0 {
			continue
		}
		value, valid := parseReportValue(name, valueText)
		if !valid || !math.IsNaN(values[i]) { // invalid or a duplicate
			return nil
		}
		values[i] = value
	}
	if slices.ContainsFunc(values, math.IsNaN) {
		return nil
	}
	return values
}

func parseReportValue(name, text string) (value float64, valid bool) {
	value, err := strconv.ParseFloat(text, 64)
	limit := maxReportValue
	if name == utilizationField {
		limit = maxUtilization
	}
	return value, err == nil && value >= 0 && value <= limit // false for NaN
}
