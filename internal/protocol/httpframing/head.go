package httpframing

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
)

// maxInterimResponses bounds the interim responses before a final response; common servers send one or two.
const maxInterimResponses = 16

// maxRequestFields bounds the header fields of a request: parsed fields take many times the memory and time of their bytes.
const maxRequestFields = 128

var (
	lineEnd = []byte("\r\n")
	headEnd = []byte("\r\n\r\n")
)

// bodyFraming describes how the end of a body is determined.
type bodyFraming struct {
	length  int64 // content length; negative if the message has none
	chunked bool
}

func (p *Parser) parseHead(in []byte) (*Part, int, error) {
	i := bytes.Index(in, headEnd)
	if i < 0 && len(in) > p.limits.HeadBytes || i > p.limits.HeadBytes {
		return nil, 0, messageError(http.StatusRequestHeaderFieldsTooLarge, "head over %d bytes", p.limits.HeadBytes)
	}
	if i < 0 {
		return nil, 0, nil
	}
	head := in[:i+4]
	if fields := bytes.Count(head[:i], lineEnd); p.direction == Requests && fields > maxRequestFields {
		return nil, 0, messageError(http.StatusRequestHeaderFieldsTooLarge, "%d header fields, over %d", fields, maxRequestFields)
	}
	if err := validateHead(head[:i+2]); err != nil {
		return nil, 0, err
	}
	part, framing, err := p.decodeHead(bufio.NewReaderSize(bytes.NewReader(head), 512))
	if err != nil {
		return nil, 0, err
	}
	if part == nil {
		return nil, len(head), nil
	}
	part.Size = len(head)
	if framing.length > int64(p.limits.BodyBytes) {
		return nil, 0, p.bodyTooLarge()
	}
	p.remaining, p.bodyBytes, p.trailerBytes, p.state = int(max(0, framing.length)), 0, 0, inBody
	if framing.chunked {
		p.state = inChunkSize
	}
	return part, len(head), nil
}

func (p *Parser) decodeHead(head *bufio.Reader) (*Part, bodyFraming, error) {
	if p.direction == Requests {
		return p.decodeRequest(head)
	}
	return p.decodeResponse(head)
}

func (p *Parser) decodeRequest(head *bufio.Reader) (*Part, bodyFraming, error) {
	request, err := http.ReadRequest(head)
	if err != nil {
		return nil, bodyFraming{}, messageError(http.StatusBadRequest, "request head: %w", err)
	}
	if request.ProtoMajor != 1 {
		return nil, bodyFraming{}, messageError(http.StatusHTTPVersionNotSupported, "protocol %s is not spoken here", request.Proto)
	}
	request.Body = http.NoBody // The body that net/http has set refers to the parsed bytes, and would keep them in memory.
	return &Part{Kind: Head, Request: request}, bodyFraming{request.ContentLength, len(request.TransferEncoding) > 0}, nil
}

// decodeResponse returns no part for an interim response, as a client must be able to skip interim responses that it did not
// request (RFC 9110, section 15.2). It rejects a switch of protocols, after which the remaining bytes would not be HTTP.
func (p *Parser) decodeResponse(head *bufio.Reader) (*Part, bodyFraming, error) {
	response, err := http.ReadResponse(head, nil)
	if err != nil {
		return nil, bodyFraming{}, messageError(http.StatusBadGateway, "response head: %w", err)
	}
	status := response.StatusCode
	interim := status < http.StatusOK
	if interim && status != http.StatusSwitchingProtocols && p.interimResponses < maxInterimResponses {
		p.interimResponses++
		return nil, bodyFraming{}, nil
	}
	p.interimResponses = 0
	if interim {
		return nil, bodyFraming{}, messageError(http.StatusBadGateway, "interim response %d was not requested", status)
	}
	framing := bodyFraming{response.ContentLength, len(response.TransferEncoding) > 0}
	if framing.length < 0 && !framing.chunked && status != http.StatusNoContent {
		// Without a length, the end of the connection may be the end of the body or a broken connection.
		return nil, bodyFraming{}, messageError(http.StatusBadGateway, "response has neither a content length nor chunked encoding")
	}
	response.Body = http.NoBody // as for requests
	return &Part{Kind: Head, Response: response}, framing, nil
}

// validateHead rejects heads that two parties may interpret differently. The head includes the line end of its last line.
func validateHead(head []byte) error {
	lengths, codings := 0, 0
	for n, line := range bytes.Split(head[:len(head)-2], lineEnd) {
		if bytes.ContainsAny(line, "\r\n\x00") {
			return messageError(http.StatusBadRequest, "head line %d has a stray line end or a zero byte", n+1)
		}
		if n == 0 {
			continue
		}
		if len(line) == 0 || line[0] == ' ' || line[0] == '\t' {
			return messageError(http.StatusBadRequest, "head line %d goes on from the one before", n+1)
		}
		name, value, ok := bytes.Cut(line, []byte(":"))
		if !ok || bytes.ContainsAny(name, " \t") {
			return messageError(http.StatusBadRequest, "head line %d is not a field", n+1)
		}
		value = bytes.TrimSpace(value)
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			if bytes.ContainsFunc(value, func(r rune) bool { return r < '0' || r > '9' }) {
				return messageError(http.StatusBadRequest, "content length %q is not a number", value)
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(string(value), "chunked") {
				return messageError(http.StatusNotImplemented, "transfer encoding %q is not spoken here", value)
			}
		}
	}
	if lengths > 1 || codings > 1 || lengths+codings > 1 {
		return messageError(http.StatusBadRequest, "more than one length: %d content lengths, %d transfer encodings", lengths, codings)
	}
	return nil
}
