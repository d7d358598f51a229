package main

import (
	"encoding/binary"
	"io"
	"net"
	"time"
)

// Types and flags of HTTP/2 frames (RFC 9113, section 6).
const (
	frameHeaders   = 1
	frameSettings  = 4
	framePing      = 6
	flagAck        = 1
	flagEndStream  = 1
	flagEndHeaders = 4

	settingInitialWindowSize = 4
)

const http2Preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// http2Frame returns a frame.
func http2Frame(kind, flags byte, stream uint32, payload []byte) []byte {
	frame := make([]byte, 9, 9+len(payload))
	frame[0], frame[1], frame[2] = byte(len(payload)>>16), byte(len(payload)>>8), byte(len(payload))
	frame[3], frame[4] = kind, flags
	binary.BigEndian.PutUint32(frame[5:], stream)
	return append(frame, payload...)
}

// http2Fields encodes header fields without compression.
func http2Fields(fields ...[2]string) []byte {
	var block []byte
	for _, field := range fields {
		block = append(block, 0, byte(len(field[0])))
		block = append(block, field[0]...)
		block = append(block, byte(len(field[1])))
		block = append(block, field[1]...)
	}
	return block
}

// startHTTP2 begins a connection whose client accepts no byte of any answer until it opens
// a window.
func startHTTP2(conn net.Conn) error {
	setting := binary.BigEndian.AppendUint16(nil, settingInitialWindowSize)
	setting = binary.BigEndian.AppendUint32(setting, 0)
	_, err := conn.Write(append([]byte(http2Preface), http2Frame(frameSettings, 0, 0, setting)...))
	return err
}

// answerHTTP2 acknowledges settings and pings until the connection ends, or for a time.
func answerHTTP2(conn net.Conn, duration time.Duration) {
	_ = conn.SetReadDeadline(time.Now().Add(duration))
	head := make([]byte, 9)
	for {
		if _, err := io.ReadFull(conn, head); err != nil {
			return
		}
		payload := make([]byte, int(head[0])<<16|int(head[1])<<8|int(head[2]))
		if _, err := io.ReadFull(conn, payload); err != nil {
			return
		}
		if head[4]&flagAck != 0 {
			continue
		}
		switch head[3] {
		case frameSettings:
			_, _ = conn.Write(http2Frame(frameSettings, flagAck, 0, nil))
		case framePing:
			_, _ = conn.Write(http2Frame(framePing, flagAck, 0, payload))
		}
	}
}
