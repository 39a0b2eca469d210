package rig

import (
	"net"
	"time"
)

// Delay starts a proxy in front of a server, which hands on each byte after the given time in either direction, as a
// network between two halls does. It returns the proxy's address.
func Delay(server string, oneWay time.Duration) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", server)
				if err != nil {
					_ = near.Close()
					return
				}
				go carry(far, near, oneWay)
				carry(near, far, oneWay)
			}()
		}
	}()
	return listener.Addr().String(), nil
}

type piece struct {
	data []byte
	due  time.Time
}

// carry hands on what comes from one side to the other, in order, and then the end of the stream.
func carry(to, from net.Conn, oneWay time.Duration) {
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				pieces <- piece{buffer[:n], time.Now().Add(oneWay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.data); err != nil {
			break
		}
	}
	_ = to.(*net.TCPConn).CloseWrite()
	_ = from.(*net.TCPConn).CloseRead()
	for range pieces { // until the reader has ended
	}
}
