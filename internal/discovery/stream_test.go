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

// indented returns the JSON text in several lines, with the given indent.
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
		"one entry per line": strings.ReplaceAll(strings.ReplaceAll(oneLine, "[{", "[\n      {"), "},{", "},\n      {"),
		"carriage returns":   strings.ReplaceAll(indented(t, listText, " "), "\n", "\r\n"),
		"braces in a name":   indented(t, strings.Replace(listText, `"s-1"`, `"}{\\\""`, 1), " "),
	} {
		t.Run(name, func(t *testing.T) {
			fake := newFakeDiscovery(t)
			events := fake.startEvents(t, nil)
			w := <-fake.watches
			w.lines <- text + "\n" + indented(t, strings.Replace(changeTemplate, "%", "99", 1), "  ")
			if ev := (<-events).(*core.EndpointsUpdated); ev.Kind != admission.ListComplete || len(ev.Endpoints) != 3 {
				t.Errorf("got %+v, want a complete list of 3 endpoints", ev)
			}
			if ev := (<-events).(*core.EndpointsUpdated); ev.Generation != 99 {
				t.Errorf("got %+v, want generation 99", ev)
			}
		})
	}
}

// A message may be cut off after any byte and be followed by the next message. The watcher then requests the complete
// list without waiting for the silence timeout, and posts no part of the message.
func TestCutOffAtAnyByte(t *testing.T) {
	text := strings.TrimSpace(strings.Replace(changeTemplate, "%", "43", 1))
	next := strings.Replace(changeTemplate, "%", "44", 1)
	for _, trailing := range []string{"\n", "\n" + next, "\n\n", next} {
		for i := 1; i < len(text); i++ {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				fake := newFakeDiscovery(t)
				events := fake.startEvents(t, func(w *Watcher) { w.silenceTimeout = time.Hour })
				(<-fake.watches).lines <- text[:i] + trailing
				if reopened := <-fake.watches; reopened.uri != "/v1/endpoints?stream=1&index=0" {
					t.Errorf("cut off at %q: requested %s, want index 0", text[:i], reopened.uri)
				}
				if len(events) > 0 {
					t.Errorf("cut off at %q: posted %+v, want nothing", text[:i], <-events)
				}
			})
		}
	}
}

// A message that is not a list ends the watch. No list is posted, so no backend is removed.
func TestNotAList(t *testing.T) {
	for _, text := range []string{"]", "}", "7", `"up"`, "[]", `{"generation":43,"reset":true}`, `{"generation":43,"reset":true,"instances":null}`, "\x00"} {
		fake := newFakeDiscovery(t)
		events := fake.startEvents(t, nil)
		(<-fake.watches).lines <- text + "\n"
		if reopened := <-fake.watches; reopened.uri != "/v1/endpoints?stream=1&index=0" || len(events) > 0 {
			t.Errorf("%q: requested %s, %d events; want index 0 and no events", text, reopened.uri, len(events))
		}
	}
}

// The watch ends when a message exceeds maxMessageBytes.
func TestEndlessMessage(t *testing.T) {
	fake := newFakeDiscovery(t)
	fake.startEvents(t, nil)
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
// or between two objects. The watcher then ends the watch and opens another, which receives the newest list.
func TestSilentAtAnyPoint(t *testing.T) {
	const header = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	text := strings.Replace(changeTemplate, "%", "43", 1)
	for name, sent := range map[string]string{
		"connect": "", "half a header": header[:20], "head": header, "line": header + text[:40],
		"object": header + "{\n \"generation\": 43,\n", "bytes inside an object": header + "{\n", "list": header + text,
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
				_, _ = http.ReadRequest(bufio.NewReader(c)) // the second watch shows whether the request was received
				_, _ = io.WriteString(c, sent)
				if strings.HasPrefix(name, "bytes") { // send bytes that never complete the message
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
				_, _ = http.ReadRequest(bufio.NewReader(second)) // the posted list shows whether the request was received
				_, _ = fmt.Fprint(second, header, strings.Replace(changeTemplate, "%", "44", 1))
				<-done
				_ = second.Close()
			}()
			defer close(done)
			fake.server = newFakeDiscovery(t).server
			events := fake.startEvents(t, func(w *Watcher) { w.Addr, w.silenceTimeout = l.Addr().String(), 100*time.Millisecond })
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
