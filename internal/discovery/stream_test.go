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

// A list may be indented over several lines in any style, and the watch continues after it.
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
				t.Errorf("got %+v, want a complete list of 3 endpoints", ev)
			}
			if ev := (<-events).(*core.EndpointsUpdated); ev.Generation != 99 {
				t.Errorf("got %+v, want generation 99", ev)
			}
		})
	}
}

// A message may be cut off after any byte and be followed by the next message. The complete list is requested soon,
// and no part of the message is posted.
func TestCutOffAtAnyByte(t *testing.T) {
	complete := strings.TrimSpace(strings.Replace(change, "%", "43", 1))
	next := strings.Replace(change, "%", "44", 1)
	for _, trailing := range []string{"\n", "\n" + next, "\n\n", next} {
		for i := 1; i < len(complete); i++ {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				fake := newFakeDiscovery(t)
				events := fake.watcher(t, func(w *Watcher) { w.silenceTimeout = time.Hour })
				(<-fake.watches).lines <- complete[:i] + trailing
				if again := <-fake.watches; again.query != "/v1/endpoints?stream=1&index=0" {
					t.Errorf("cut off at %q: requested %s, want index 0", complete[:i], again.query)
				}
				if len(events) > 0 {
					t.Errorf("cut off at %q: posted %+v, want nothing", complete[:i], <-events)
				}
			})
		}
	}
}

// A message that is not a list ends the watch. No list is posted, so no backend is removed.
func TestNotAList(t *testing.T) {
	for _, text := range []string{"]", "}", "7", `"up"`, "[]", `{"generation":43,"reset":true}`, `{"generation":43,"reset":true,"instances":null}`, "\x00"} {
		fake := newFakeDiscovery(t)
		events := fake.watcher(t, nil)
		(<-fake.watches).lines <- text + "\n"
		if again := <-fake.watches; again.query != "/v1/endpoints?stream=1&index=0" || len(events) > 0 {
			t.Errorf("%q: requested %s, %d events; want index 0 and no events", text, again.query, len(events))
		}
	}
}

// The watch ends when a message exceeds maxMessageBytes.
func TestEndlessMessage(t *testing.T) {
	fake := newFakeDiscovery(t)
	fake.watcher(t, nil)
	w := <-fake.watches
	go func() {
		w.lines <- "{"
		for piece := strings.Repeat(" ", 64<<10); ; {
			select {
			case w.lines <- piece:
			case <-w.closed:
				return
			}
		}
	}()
	<-fake.watches
}

// Discovery may stop sending at any point: after the connect, after the header, in the middle of an object or a line,
// or between two objects. The watch is then ended and opened again, and it receives the newest list.
func TestSilentAtAnyPoint(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	complete := strings.Replace(change, "%", "43", 1)
	for name, sent := range map[string]string{
		"connect": "", "half a header": header[:20], "head": header, "line": header + complete[:40],
		"object": header + "{\n \"generation\": 43,\n", "bytes inside an object": header + "{\n", "list": header + complete,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := testnet.Listen(t) // closed after the watcher has ended
			fake := &fakeDiscovery{}
			silentConn, done := make(chan net.Conn, 1), make(chan bool)
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				silentConn <- c
				_, _ = http.ReadRequest(bufio.NewReader(c)) // the second watch shows whether it was received
				_, _ = io.WriteString(c, sent)
				if strings.HasPrefix(name, "bytes") { // parts of an object, which make no message
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
				_, _ = http.ReadRequest(bufio.NewReader(second)) // the list shows whether it was received
				_, _ = fmt.Fprint(second, header, strings.Replace(change, "%", "44", 1))
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
						_ = (<-silentConn).Close()
						return
					}
				case <-time.After(10 * time.Second):
					t.Fatal("the list of generation 44 was not received within 10 s")
				}
			}
		})
	}
}
