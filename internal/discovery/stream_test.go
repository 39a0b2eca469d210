package discovery

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lemongate/internal/admission"
	"lemongate/internal/core"
	"lemongate/internal/testnet"
)

func indented(t *testing.T, text, indent string) string {
	t.Helper()
	var out bytes.Buffer
	if err := json.Indent(&out, []byte(text), "", indent); err != nil {
		t.Fatal(err)
	}
	return out.String() + "\n"
}

// A list may come indented over several lines, by any printer, and the watch goes on behind it.
func TestIndentedLists(t *testing.T) {
	oneLine := strings.ReplaceAll(listText, "\n", "") + "\n"
	for name, text := range map[string]string{
		"one line": oneLine, "tabs": indented(t, listText, "\t"), "spaces": indented(t, listText, "  "), "none": indented(t, listText, ""),
		"an entry a line":  strings.ReplaceAll(strings.ReplaceAll(oneLine, "[{", "[\n      {"), "},{", "},\n      {"),
		"carriage returns": strings.ReplaceAll(indented(t, listText, " "), "\n", "\r\n"),
		"braces in a name": indented(t, strings.Replace(listText, `"s-1"`, `"}{\\\""`, 1), " "),
	} {
		t.Run(name, func(t *testing.T) {
			fake := newFakeDiscovery(t)
			events := fake.watcher(t, nil)
			w := <-fake.watches
			w.lines <- text + "\n" + indented(t, strings.Replace(change, "%", "99", 1), "  ")
			if ev := (<-events).(*core.EndpointsUpdated); ev.Kind != admission.ListComplete || len(ev.Endpoints) != 3 {
				t.Errorf("%+v", ev)
			}
			if ev := (<-events).(*core.EndpointsUpdated); ev.Generation != 99 {
				t.Errorf("%+v", ev)
			}
		})
	}
}

// A message may be cut off after any byte, with the next one behind it. The list is requested again soon,
// and nothing of half a message is posted.
func TestCutOffAtAnyByte(t *testing.T) {
	complete := strings.TrimSpace(strings.Replace(change, "%", "43", 1))
	next := strings.Replace(change, "%", "44", 1)
	for _, behind := range []string{"\n", "\n" + next, "\n\n", next} {
		for i := 1; i < len(complete); i++ {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				fake := newFakeDiscovery(t)
				events := fake.watcher(t, func(w *Watcher) { w.silenceTimeout = time.Hour })
				(<-fake.watches).lines <- complete[:i] + behind
				if again := <-fake.watches; again.query != "/v1/endpoints?stream=1&index=0" {
					t.Errorf("cut off at %q: requested %s", complete[:i], again.query)
				}
				if len(events) > 0 {
					t.Errorf("cut off at %q: posted %+v", complete[:i], <-events)
				}
			})
		}
	}
}

// What is not a list ends the watch, and removes nothing.
func TestNotAList(t *testing.T) {
	for _, text := range []string{"]", "}", "7", `"up"`, "[]", `{"generation":43,"reset":true}`, `{"generation":43,"reset":true,"instances":null}`, "\x00"} {
		fake := newFakeDiscovery(t)
		events := fake.watcher(t, nil)
		(<-fake.watches).lines <- text + "\n"
		if again := <-fake.watches; again.query != "/v1/endpoints?stream=1&index=0" || len(events) > 0 {
			t.Errorf("%q: requested %s, %d events", text, again.query, len(events))
		}
	}
}

// A message that grows without end is given up at a bound.
func TestEndlessMessage(t *testing.T) {
	fake := newFakeDiscovery(t)
	fake.watcher(t, nil)
	w := <-fake.watches
	go func() {
		w.lines <- "{"
		for piece := strings.Repeat(" ", 64<<10); ; {
			select {
			case w.lines <- piece:
			case <-w.gone:
				return
			}
		}
	}()
	<-fake.watches
}

// A watch may fall silent at any point: at the connect, after the head, in the middle of an object or of a
// line, or between two objects. Each is given up and opened anew, and the newest list comes then.
func TestSilentAtAnyPoint(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	complete := strings.Replace(change, "%", "43", 1)
	for name, sent := range map[string]string{
		"connect": "", "half a head": head[:20], "head": head, "line": head + complete[:40],
		"object": head + "{\n \"generation\": 43,\n", "bytes inside an object": head + "{\n", "list": head + complete,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := testnet.Listen(t) // until the watcher has ended
			fake := &fakeDiscovery{}
			silent, done := make(chan net.Conn, 1), make(chan bool)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				silent <- c
				_, _ = http.ReadRequest(bufio.NewReader(c)) // the second watch shows whether it came
				_, _ = io.WriteString(c, sent)
				if strings.HasPrefix(name, "bytes") { // parts of an object do not make a message
					for range 2000 {
						if _, err := io.WriteString(c, " \"x\": 1,\n"); err != nil {
							break
						}
						time.Sleep(10 * time.Millisecond)
					}
				}
				second, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(second)) // the list shows whether it came
				_, _ = fmt.Fprint(second, head, strings.Replace(change, "%", "44", 1))
				<-done
				_ = second.Close()
			}()
			defer close(done)
			fake.server = newFakeDiscovery(t).server
			events := fake.watcher(t, func(w *Watcher) { w.Addr, w.silenceTimeout = l.Addr().String(), 100*time.Millisecond })
			for {
				select {
				case ev := <-events:
					if ev.(*core.EndpointsUpdated).Generation == 44 {
						_ = (<-silent).Close()
						return
					}
				case <-time.After(10 * time.Second):
					t.Fatal("the newest list did not come")
				}
			}
		})
	}
}
