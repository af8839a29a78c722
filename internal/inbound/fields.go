package inbound

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// manyFields is the number of header fields beyond which the parsed fields of a head take many times its length: fasthttp
// keeps each apart.
const manyFields = 64

// fasthttp may wait for its client between a head and the handler: for the beginning of the body, or until the client has
// got a 100 Continue. Meanwhile a head with many fields has them as one value, as they came.
const (
	packedFieldsName = "packed fields"
	packedLineEnd    = "\x00" // fasthttp would replace the line ends in a value
	malformedFields  = "malformed"
)

// packFields replaces the parsed fields of a head that has many by the bytes that came.
func packFields(header *fasthttp.RequestHeader) {
	received := header.RawHeaders()
	if bytes.Count(received, []byte("\n")) <= manyFields {
		return
	}
	packed := bytes.ReplaceAll(received, []byte("\r\n"), []byte(packedLineEnd))
	if bytes.Contains(received, []byte(packedLineEnd)) || bytes.ContainsAny(packed, "\r\n") {
		packed = []byte(malformedFields) // the message will be refused
	}
	replaceFields(header, packed)
}

// receivedFields returns the fields of a head as they came, with the blank line behind them unless there are none, and
// whether they were packed.
func receivedFields(header *fasthttp.RequestHeader) (fields []byte, packed bool) {
	if fields = header.RawHeaders(); len(fields) > 0 {
		return fields, false
	}
	value := header.PeekCanonical([]byte(packedFieldsName))
	return bytes.ReplaceAll(value, []byte(packedLineEnd), []byte("\r\n")), len(value) > 0
}

// replaceFields frees the memory of the parsed fields. It keeps those by which fasthttp reads the rest of the message, and
// adds the packed ones, unless they are nil.
func replaceFields(header *fasthttp.RequestHeader, packed []byte) {
	method, target, protocol, host := header.Method(), header.RequestURI(), header.Protocol(), header.Host()
	length, closes, expectation := header.ContentLength(), header.ConnectionClose(), header.Peek(fasthttp.HeaderExpect)
	*header = fasthttp.RequestHeader{}
	header.SetMethodBytes(method)
	header.SetRequestURIBytes(target)
	header.SetProtocolBytes(protocol)
	header.SetHostBytes(host)
	header.SetContentLength(length)
	if closes {
		header.SetConnectionClose()
	}
	if len(expectation) > 0 {
		header.SetBytesV(fasthttp.HeaderExpect, expectation)
	}
	if packed != nil {
		header.SetCanonical([]byte(packedFieldsName), packed)
	}
}
