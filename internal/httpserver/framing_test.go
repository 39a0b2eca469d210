package httpserver

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// However requests arrive in pieces, the input buffer passes on the same bytes: a head only when it is complete, and no byte
// of a request before the one before was passed on completely.
func TestInputBufferPassesWholeHeads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var heads, bodies []string
		stream := ""
		for i := range rapid.IntRange(1, 5).Draw(t, "requests") {
			body := strings.Repeat("\nGET ", rapid.IntRange(0, 30).Draw(t, "body"))
			newline := rapid.SampledFrom([]string{"\r\n", "\n"}).Draw(t, "newline")
			head := fmt.Sprintf("POST /%d HTTP/1.1%s", i, newline) + strings.Repeat("X: y"+newline, rapid.IntRange(0, 9).Draw(t, "fields"))
			head += fmt.Sprintf("content-LENGTH: %d%s%s", len(body), newline, newline)
			heads, bodies = append(heads, head), append(bodies, body)
			stream += head + body
		}
		in := &inputBuffer{}
		rest := stream
		read := func(limit int) string { // one read of net/http
			p := make([]byte, rapid.IntRange(1, 40).Draw(t, "size"))
			n := in.take(p)
			for n == 0 {
				if rest == "" {
					t.Fatal("the input buffer does not pass on what it has")
				}
				piece := min(rapid.IntRange(1, 60).Draw(t, "piece"), len(rest), len(p))
				received := copy(p, rest[:piece])
				rest = rest[piece:]
				if len(in.buffered) == 0 {
					n = in.receive(p[:received])
				} else {
					in.add(p[:received])
					n = in.take(p)
				}
			}
			if n > limit {
				t.Fatalf("passed %d bytes of a request of which %d are left", n, limit)
			}
			return string(p[:n])
		}
		for i := range heads {
			got := read(len(heads[i]) + len(bodies[i]))
			if sent := len(stream) - len(rest); sent < len(strings.Join(heads[:i+1], ""))+len(strings.Join(bodies[:i], "")) {
				t.Fatalf("request %d: passed %q before its head had arrived", i, got)
			}
			for len(got) < len(heads[i])+len(bodies[i]) {
				if rapid.Bool().Draw(t, "ahead") && len(in.buffered) > 0 {
					got += string(in.takeByteAhead())
					continue
				}
				got += read(len(heads[i]) + len(bodies[i]) - len(got))
			}
			if got != heads[i]+bodies[i] {
				t.Fatalf("request %d: passed %q, want %q", i, got, heads[i]+bodies[i])
			}
		}
	})
}

// A byte of the next request that was taken ahead belongs to the head of that request.
func TestByteTakenAheadIsPartOfNextHead(t *testing.T) {
	const head = "GET / HTTP/1.1\n\n"
	in := &inputBuffer{}
	in.add([]byte(head[:4]))
	if first := in.takeByteAhead(); first != head[0] {
		t.Errorf("took %q, want the first byte of the head", first)
	}
	p := make([]byte, 64)
	if n := in.take(p); n > 0 {
		t.Errorf("passed %q, want nothing of a head that is not complete", p[:n])
	}
	in.add([]byte(head[4:]))
	if n := in.take(p); string(p[:n]) != head[1:] {
		t.Errorf("passed %q, want the rest of the head", p[:n])
	}
}

// Where the input buffer knows the end of a request, net/http takes the same.
func FuzzBodyLength(f *testing.F) {
	for _, field := range []string{
		"Content-Length: 3", "Content-Length: 03", "content-length:3", "Content-Length: 3\nContent-Length: 3", "Content-Length: +3",
		"Content-Length: 3, 3", "Content-Length:", "Content-Length: 3\n 4", "Transfer-Encoding: chunked", " \nContent-Length: 3",
		"Transfer-Encoding: chunked\nContent-Length: 3", "Content-Length : 3", "X: y\n\t\nContent-Length: 3", "\r\nContent-Length: 3",
	} {
		f.Add(field)
	}
	f.Fuzz(func(t *testing.T, fields string) {
		text := "POST / HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n\r\n"
		rest := strings.Repeat("b", 9)
		var scanner headScanner
		n, complete := scanner.scan([]byte(text + rest))
		if !complete || scanner.exceedsLimits() {
			return
		}
		length, known := bodyLength([]byte(text[:n]))
		if !known || length > len(rest)+len(text)-n {
			return
		}
		reader := bufio.NewReader(io.MultiReader(strings.NewReader(text + rest)))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return // net/http answers it and closes the connection
		}
		body, err := io.ReadAll(request.Body)
		if want := (text + rest)[n : n+length]; err != nil || !bytes.Equal(body, []byte(want)) {
			t.Errorf("%q: net/http reads the body %q, error %v; want %q", text, body, err, want)
		}
	})
}
