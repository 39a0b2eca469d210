// Package golden helps tests to compare stored forms with files that an earlier release wrote.
package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unsafe"
)

// A Filler gives each field of a value a different value, in the order of the fields. A boolean can only be true or
// false, so one filling cannot give each boolean a value of its own. The boolean with number n, counted from 1, is
// therefore set to bit Pattern of n: any two booleans differ in at least one of the fillings with the Patterns 0, 1, ...
type Filler struct {
	Pattern int

	// Each count is the number of values filled so far, from which the next value is derived.
	numberCount  int // of integers, floating-point numbers and strings
	byteCount    int // of 8-bit integers
	booleanCount int
}

// Patterns is the number of fillings that distinguish up to 127 booleans.
const Patterns = 7

// Fill fills the value that a pointer points to, including unexported fields. It leaves out fields that are not stored
// (json:"-"), functions, channels and interfaces. It also leaves out fields with a tag that names the first release that
// has them (since:"0.9.2"): they are optional, and the release that wrote the files did not have them.
func (f *Filler) Fill(pointer any) { f.fill(reflect.ValueOf(pointer).Elem()) }

func (f *Filler) fill(v reflect.Value) {
	switch v.Kind() {
	case reflect.Bool:
		f.booleanCount++
		v.SetBool(f.booleanCount>>f.Pattern&1 == 1)
	case reflect.Int8:
		f.byteCount++
		v.SetInt(int64(f.byteCount % 127))
	case reflect.Uint8:
		f.byteCount++
		v.SetUint(uint64(f.byteCount % 251))
	case reflect.Int, reflect.Int16, reflect.Int32, reflect.Int64:
		f.numberCount++
		v.SetInt(int64(f.numberCount))
	case reflect.Uint, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		f.numberCount++
		v.SetUint(uint64(f.numberCount))
	case reflect.Float32, reflect.Float64:
		f.numberCount++
		v.SetFloat(float64(f.numberCount) + 0.5)
	case reflect.String:
		f.numberCount++
		v.SetString(fmt.Sprintf("text%d", f.numberCount))
	default:
		f.fillParts(v)
	}
}

// fillParts fills a value that consists of other values.
func (f *Filler) fillParts(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		v.Set(reflect.MakeMap(v.Type()))
		for range 2 {
			key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
			f.fill(key)
			f.fill(value)
			v.SetMapIndex(key, value)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			if field.Tag.Get("json") == "-" || field.Tag.Get("since") != "" {
				continue
			}
			f.fill(reflect.NewAt(field.Type, unsafe.Pointer(v.Field(i).UnsafeAddr())).Elem())
		}
	}
}

// Read returns the content of a file in testdata.
func Read(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Equal compares bytes with the content of a file in testdata.
func Equal(t testing.TB, name string, got []byte) {
	t.Helper()
	want := Read(t, name)
	if string(got) == string(want) {
		return
	}
	firstDifference := 0
	for firstDifference < min(len(got), len(want)) && got[firstDifference] == want[firstDifference] {
		firstDifference++
	}
	from := max(firstDifference-60, 0)
	t.Errorf("%s: differs at byte %d:\ngot  ...%s\nwant ...%s", name, firstDifference, got[from:min(firstDifference+60, len(got))], want[from:min(firstDifference+60, len(want))])
}

// mapKey matches the keys of a map that a Filler made.
var mapKey = regexp.MustCompile(`^(text)?[0-9]+$`)

// Fields returns the JSON text of each leaf of a JSON document by its path, such as "peers.7.epoch". Of a list of
// objects, and of a map that a Filler made, it includes only the first element. A list of other values is a leaf.
func Fields(t testing.TB, data []byte) map[string]string {
	t.Helper()
	var document any
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	if err := decoder.Decode(&document); err != nil {
		t.Fatal(err)
	}
	fields := map[string]string{}
	collect(fields, "", document)
	return fields
}

func collect(fields map[string]string, path string, node any) {
	switch node := node.(type) {
	case map[string]any:
		keys := slices.Sorted(maps.Keys(node))
		if len(keys) > 0 && mapKey.MatchString(keys[0]) {
			keys = keys[:1]
		}
		for _, key := range keys {
			collect(fields, strings.TrimPrefix(path+"."+key, "."), node[key])
		}
		return
	case []any:
		if len(node) > 0 {
			if _, isObject := node[0].(map[string]any); isObject {
				collect(fields, path+".0", node[0])
				return
			}
		}
	}
	text, _ := json.Marshal(node)
	fields[path] = string(text)
}

// Match compares the decoded value of each path with the stored field, and requires a decoded value for each field.
func Match(t testing.TB, fields map[string]string, decoded map[string]any) {
	t.Helper()
	for path, value := range decoded {
		text, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if stored, ok := fields[path]; !ok || stored != string(text) {
			t.Errorf("%s: decoded %s, stored %q", path, text, stored)
		}
	}
	for path := range fields {
		if _, ok := decoded[path]; !ok {
			t.Errorf("%s: stored, but not compared with a decoded value", path)
		}
	}
}
