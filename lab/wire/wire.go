// Package wire reads and writes HTTP/1.1 messages for the lab's clients and backends. It implements only the parts of
// RFC 9112 that the sidecar's protocol uses. It shares no code with the sidecar's parser, so that tests don't repeat
// that parser's faults.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"strings"
)

// Head is the start line and header fields of a message. Field names are in lower case.
type Head struct {
	First  [3]string
	Fields map[string]string
	Bytes  int // length of the head
}

// ErrHead is returned for a malformed message, ErrLong for one that exceeds the size limits.
var (
	ErrHead = errors.New("malformed message")
	ErrLong = errors.New("message too long")
)

// Maximum sizes of a head and a body, in bytes.
const maxHeadBytes, maxBodyBytes = 64 << 10, 64 << 20

// ReadHead reads a head. The error is io.EOF if the connection ended before its first byte, io.ErrUnexpectedEOF if it
// ended within the head.
func ReadHead(reader *bufio.Reader) (Head, error) {
	head := Head{Fields: map[string]string{}}
	for first := true; ; first = false {
		line, err := reader.ReadSlice('\n')
		head.Bytes += len(line)
		if err == bufio.ErrBufferFull || head.Bytes > maxHeadBytes {
			return head, ErrLong
		}
		if err != nil {
			if err == io.EOF && head.Bytes > 0 {
				err = io.ErrUnexpectedEOF
			}
			return head, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if first {
			parts := strings.SplitN(string(line), " ", 3)
			if len(parts) < 2 {
				return head, ErrHead
			}
			copy(head.First[:], parts)
			continue
		}
		if len(line) == 0 {
			return head, nil
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || len(name) == 0 || bytes.ContainsAny(name, " \t") {
			return head, ErrHead
		}
		head.Fields[strings.ToLower(string(name))] = string(bytes.TrimSpace(value))
	}
}

// Body reads the body that follows the head, by its Content-Length or in chunks. Without either, the body is empty.
func (h Head) Body(reader *bufio.Reader) ([]byte, error) {
	if strings.EqualFold(h.Fields["transfer-encoding"], "chunked") {
		return readChunks(reader)
	}
	length, present := h.Fields["content-length"]
	if !present {
		return nil, nil
	}
	size, err := strconv.ParseUint(length, 10, 31)
	if err != nil {
		return nil, ErrHead
	}
	if size > maxBodyBytes {
		return nil, ErrLong
	}
	body := make([]byte, size)
	_, err = io.ReadFull(reader, body)
	return body, unexpectedEOF(err)
}

// unexpectedEOF replaces io.EOF with io.ErrUnexpectedEOF, for an input that ends within a body.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readChunks reads a chunked body.
func readChunks(reader *bufio.Reader) (body []byte, err error) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return nil, unexpectedEOF(err)
		}
		size, _, _ := strings.Cut(strings.TrimSpace(line), ";")
		chunkSize, err := strconv.ParseUint(size, 16, 31)
		if err != nil {
			return nil, ErrHead
		}
		if len(body)+int(chunkSize) > maxBodyBytes {
			return nil, ErrLong
		}
		part := make([]byte, chunkSize+2)
		if _, err := io.ReadFull(reader, part); err != nil {
			return nil, unexpectedEOF(err)
		}
		if chunkSize == 0 {
			return body, nil
		}
		body = append(body, part[:chunkSize]...)
	}
}

// Closes reports whether the connection closes after this message.
func (h Head) Closes() bool { return strings.EqualFold(h.Fields["connection"], "close") }

// Status returns the status code, or 0 if the message is not a response.
func (h Head) Status() int {
	status, err := strconv.Atoi(h.First[1])
	if err != nil || !strings.HasPrefix(h.First[0], "HTTP/1.") {
		return 0
	}
	return status
}

// Target returns the path and query of a request.
func (h Head) Target() (path string, query url.Values, err error) {
	parsed, err := url.ParseRequestURI(h.First[1])
	if err != nil {
		return "", nil, ErrHead
	}
	return parsed.Path, parsed.Query(), nil
}

// Answer formats a response. Further header fields are given as "Name: value".
func Answer(status int, body string, fields ...string) []byte {
	var message bytes.Buffer
	fmt.Fprintf(&message, "HTTP/1.1 %d x\r\nContent-Length: %d\r\n", status, len(body))
	for _, field := range fields {
		message.WriteString(field + "\r\n")
	}
	message.WriteString("\r\n" + body)
	return message.Bytes()
}
