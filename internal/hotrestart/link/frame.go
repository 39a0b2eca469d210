package link

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// Layout of a frame on the stream: the length of the body in bytes, 4 bytes big-endian; the kind; the number of
// sockets that are sent with it; the body.
const (
	headerBytes  = 6
	maxBodyBytes = 256 << 20 // the state of some 100,000 customers
	maxSockets   = 4         // with one frame

	descriptorBytes = 4        // of a file descriptor in a control message
	minReadBytes    = 4 << 10  // of the buffer of one read: has room for the frames that follow
	maxReadBytes    = 64 << 10 // of the buffer of one read, independent of the size of the frame
)

var errMissingSockets = errors.New("received fewer sockets than the frame header announces")

// Frame is one message with its sockets, which the receiver has to close.
type Frame struct {
	Kind    uint8
	Body    []byte
	Sockets []*os.File
}

// encodeFrame returns the encoded frame.
func encodeFrame(kind uint8, sockets int, body []byte) []byte {
	data := make([]byte, 0, headerBytes+len(body))
	data = binary.BigEndian.AppendUint32(data, uint32(len(body)))
	data = append(data, kind, uint8(sockets))
	return append(data, body...)
}

// frameReader reads frames from a socket.
type frameReader struct {
	socket      *net.UnixConn
	data        []byte // received and not yet returned
	descriptors []int  // received and not yet returned
}

// read returns the next frame. If it returns an error, it closes the sockets that were received and not returned.
func (r *frameReader) read() (Frame, error) {
	f, err := r.next()
	if err != nil {
		for _, fd := range r.descriptors {
			_ = syscall.Close(fd) // closes only this process's copy; the error of next is returned
		}
		r.descriptors = nil
	}
	return f, err
}

func (r *frameReader) next() (Frame, error) {
	if err := r.fill(headerBytes); err != nil {
		return Frame{}, err
	}
	size, kind, sockets := int(binary.BigEndian.Uint32(r.data)), r.data[4], int(r.data[5])
	if size > maxBodyBytes || sockets > maxSockets {
		return Frame{}, fmt.Errorf("frame header: body of %d bytes or %d sockets exceed the limits", size, sockets)
	}
	if err := r.fill(headerBytes + size); err != nil {
		return Frame{}, err
	}
	if len(r.descriptors) < sockets {
		return Frame{}, errMissingSockets
	}
	f := Frame{Kind: kind, Body: append([]byte(nil), r.data[headerBytes:headerBytes+size]...)}
	for _, fd := range r.descriptors[:sockets] {
		f.Sockets = append(f.Sockets, os.NewFile(uintptr(fd), "received socket"))
	}
	r.data, r.descriptors = r.data[headerBytes+size:], r.descriptors[sockets:]
	return f, nil
}

// fill reads until data has at least want bytes.
func (r *frameReader) fill(want int) error {
	for len(r.data) < want {
		if err := r.readMore(want - len(r.data)); err != nil {
			return err
		}
	}
	return nil
}

// readMore reads once, including the sockets sent with the bytes. Missing is how many bytes are wanted.
func (r *frameReader) readMore(missing int) error {
	buffer := make([]byte, min(max(missing, minReadBytes), maxReadBytes))
	control := make([]byte, syscall.CmsgSpace(descriptorBytes*maxSockets))
	n, controlBytes, _, _, err := r.socket.ReadMsgUnix(buffer, control)
	if err == nil && n == 0 {
		err = io.EOF
	}
	if err != nil {
		return err
	}
	r.data = append(r.data, buffer[:n]...)
	return r.addDescriptors(control[:controlBytes])
}

// addDescriptors adds the descriptors in control messages, and sets close-on-exec on them, so that programs that
// this process starts do not inherit them.
func (r *frameReader) addDescriptors(control []byte) error {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return err
	}
	for _, m := range messages {
		descriptors, err := syscall.ParseUnixRights(&m)
		if err != nil {
			return err
		}
		for _, fd := range descriptors {
			syscall.CloseOnExec(fd)
		}
		r.descriptors = append(r.descriptors, descriptors...)
	}
	return nil
}
