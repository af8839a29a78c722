package rig

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// head is the first line and the fields of a message.
type head struct {
	first  []byte
	fields map[string]string
}

// readHead reads the head of a message.
func readHead(reader *bufio.Reader) (head, *bufio.Reader, error) {
	h := head{fields: map[string]string{}}
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			if err == io.EOF && (len(line) > 0 || h.first != nil) {
				err = io.ErrUnexpectedEOF
			}
			return h, reader, err
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case h.first == nil:
			if len(bytes.Fields(line)) < 2 {
				return h, reader, fmt.Errorf("no first line: %q", line)
			}
			h.first = bytes.Clone(line)
		case len(line) == 0:
			return h, reader, nil
		default:
			name, value, _ := strings.Cut(string(line), ":")
			h.fields[strings.ToLower(name)] = strings.TrimSpace(value)
		}
	}
}

// readBody reads a body that has a length or comes in chunks. Without either it is empty for a request; for an
// answer it lasts until the end.
func (h head) readBody(reader *bufio.Reader) ([]byte, error) {
	if strings.EqualFold(h.fields["transfer-encoding"], "chunked") {
		return readChunks(reader)
	}
	length, told := h.fields["content-length"]
	if !told {
		if bytes.HasPrefix(h.first, []byte("HTTP/")) {
			return io.ReadAll(reader)
		}
		return nil, nil
	}
	n, err := strconv.Atoi(length)
	if err != nil {
		return nil, err
	}
	body := make([]byte, n)
	_, err = io.ReadFull(reader, body)
	return body, err
}

func readChunks(reader *bufio.Reader) (body []byte, err error) {
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return body, io.ErrUnexpectedEOF
		}
		size, err := strconv.ParseInt(strings.TrimSpace(strings.Split(line, ";")[0]), 16, 32)
		if err != nil {
			return body, err
		}
		piece := make([]byte, size+2)
		if _, err := io.ReadFull(reader, piece); err != nil {
			return body, io.ErrUnexpectedEOF
		}
		if size == 0 {
			return body, nil
		}
		body = append(body, piece[:size]...)
	}
}
