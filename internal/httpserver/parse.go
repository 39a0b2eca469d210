package httpserver

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// This file parses paths and header values.

const (
	// maxWordBytes is the maximum length of a header value that is a single word.
	maxWordBytes = 256
	// maxNumberBytes is the maximum length of a number in a header value.
	maxNumberBytes = 24
	// customerDigits is the length of a customer's name, which is hexadecimal.
	customerDigits = 16
	// customerLimit is the exclusive upper bound of customer numbers, which the platform's protocol defines.
	customerLimit = 1 << 33
	// maxBudget is the maximum of a client's budget.
	maxBudget = time.Hour
	// maxQuotaNumber is the maximum of each number in Quota-Info.
	maxQuotaNumber = 1 << 20
)

// singleWord returns the value of a header that occurs once and is a single word of printable ASCII of at most
// maxWordBytes.
func singleWord(header http.Header, name string) (value string, ok bool) {
	values := header[name]
	if len(values) != 1 || len(values[0]) == 0 || len(values[0]) > maxWordBytes {
		return "", false
	}
	for _, c := range []byte(values[0]) {
		if c <= ' ' || c >= 0x7f {
			return "", false
		}
	}
	return values[0], true
}

// splitPath returns the class and the customer of a path: its first and its last segment. Upper-case hexadecimal digits
// are invalid, so that each customer has exactly one name.
func splitPath(path string) (class, customer string, ok bool) {
	path, ok = strings.CutPrefix(path, "/")
	if !ok {
		return "", "", false
	}
	class, _, ok = strings.Cut(path, "/")
	customer = path[strings.LastIndexByte(path, '/')+1:]
	if !ok || len(customer) != customerDigits || strings.ContainsAny(customer, "ABCDEF") {
		return "", "", false
	}
	number, err := strconv.ParseUint(customer, 16, 64)
	return class, customer, err == nil && number < customerLimit
}

// parseBudget parses a number followed by its unit: m for milliseconds, u for microseconds.
func parseBudget(text string) (budget time.Duration, ok bool) {
	if text == "" {
		return 0, false
	}
	var unit time.Duration
	switch text[len(text)-1] {
	case 'm':
		unit = time.Millisecond
	case 'u':
		unit = time.Microsecond
	default:
		return 0, false
	}
	number, ok := parseNumber(text[:len(text)-1])
	nanoseconds := number * float64(unit)
	if !ok || nanoseconds < 1 || nanoseconds > float64(maxBudget) {
		return 0, false
	}
	return time.Duration(nanoseconds), true
}

// parseNumber parses a plain decimal number. It accepts no sign, exponent, infinity or hexadecimal digits, all of which
// strconv would accept.
func parseNumber(text string) (number float64, ok bool) {
	if len(text) > maxNumberBytes || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil
}

// A quotaInfo is the content of the Quota-Info header: the units of a request, and the customer's limiter set.
type quotaInfo struct {
	units        float64
	setSize      int // number of limiters in the customer's limiter set
	firstLimiter int // number of the first limiter of the set
}

// parseQuotaInfo parses "units=2,spread=3,first=1", each name exactly once. Other names are ignored.
func parseQuotaInfo(text string) (info quotaInfo, ok bool) {
	seen := map[string]bool{}
	for part := range strings.SplitSeq(text, ",") {
		name, valueText, _ := strings.Cut(strings.TrimSpace(part), "=")
		if name != "units" && name != "spread" && name != "first" {
			continue
		}
		value, ok := parseNumber(valueText)
		fractional := value != math.Trunc(value)
		if !ok || seen[name] || fractional && name != "units" || value > maxQuotaNumber {
			return info, false
		}
		seen[name] = true
		switch name {
		case "units":
			info.units = value
		case "spread":
			info.setSize = int(value)
		case "first":
			info.firstLimiter = int(value)
		}
	}
	return info, len(seen) == 3 && info.units > 0 && info.setSize > 0
}
