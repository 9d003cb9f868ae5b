package httpstrict

import (
	"net/http"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// Errors of heads that net/http takes. It drops a field whose name holds a blank, and appends a line that
// begins with one to the field before (RFC 9112, section 5, has a client refuse both); if that was
// the length of the body or its coding, another body is read than was sent.
var (
	errFieldName = errors.New("httpstrict: the name of a field is none")
	errFolded    = errors.New("httpstrict: a line of the head begins with a blank")
	errCoding    = errors.New("httpstrict: a transfer coding in HTTP/1.0")
)

// codingField is the field that HTTP/1.0 does not know. net/http takes it away and reads the body as
// if it had not been there (RFC 9112, section 6.1, has a client treat the framing as faulty).
const codingField = "transfer-encoding"

// CheckFields returns an error if the name of a field is none. It is for trailers, which follow the body.
func CheckFields(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errFieldName
		}
	}
	return nil
}

// headPart is a part of a head.
type headPart int

const (
	noHead       headPart = iota // the body, or nothing is expected
	version                      // of the status line
	statusCode                   // with the blanks before it
	reason                       // up to the end of the status line
	lineStart                    // of a field, or of the empty line
	lineFeed                     // of the empty line is missing
	fieldName                    // up to the colon
	fieldContent                 // up to the end of the line
)

// headScanner looks for lines that are no fields in the head of a response and in the interim ones
// before it, while their bytes arrive.
type headScanner struct {
	part    headPart
	version []byte // of the status line, as far as it has arrived
	code    []byte // the same
	name    []byte // of the current field, in lower case, at most one byte more than codingField
	err     error  // the first fault
}

// begin expects a response.
func (s *headScanner) begin() {
	*s = headScanner{part: version, version: s.version[:0], code: s.code[:0], name: s.name[:0]}
}

// scan scans the next bytes. Those after the head are ignored.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		if s.part == noHead {
			return
		}
		s.scanByte(b)
	}
}

func (s *headScanner) scanByte(b byte) {
	switch s.part {
	case version, statusCode, reason:
		s.scanStatus(b)
	case lineStart:
		s.scanLineStart(b)
	case lineFeed:
		if b == '\n' {
			s.endHead()
			return
		}
		s.fault(errFieldName)
		s.part = fieldName
		s.scanByte(b)
	case fieldName:
		s.scanName(b)
	case fieldContent:
		if b == '\n' {
			s.part = lineStart
		}
	}
}

func (s *headScanner) scanStatus(b byte) {
	const digits = 3
	switch {
	case b == '\n':
		s.part = lineStart
	case s.part == version && b == ' ':
		s.part = statusCode
	case s.part == version && len(s.version) < len("HTTP/1.0"):
		s.version = append(s.version, b)
	case s.part != statusCode:
		// what is left of the version, or the reason
	case b == ' ' && len(s.code) == 0:
		// a blank before the code
	case len(s.code) < digits && b != ' ':
		s.code = append(s.code, b)
	default:
		s.part = reason
	}
}

func (s *headScanner) scanLineStart(b byte) {
	switch b {
	case '\n':
		s.endHead()
	case '\r':
		s.part = lineFeed
	case ' ', '\t':
		s.fault(errFolded)
		s.part = fieldContent
	case ':':
		s.fault(errFieldName)
		s.part = fieldContent
	default:
		s.part, s.name = fieldName, s.name[:0]
		s.scanName(b)
	}
}

func (s *headScanner) scanName(b byte) {
	switch {
	case b == ':':
		s.part = fieldContent
		if string(s.name) == codingField && string(s.version) == "HTTP/1.0" {
			s.fault(errCoding)
		}
	case b == '\n':
		s.fault(errFieldName)
		s.part = lineStart
	case !httpguts.IsTokenRune(rune(b)):
		s.fault(errFieldName)
	case len(s.name) <= len(codingField):
		s.name = append(s.name, b|0x20) // letters in lower case
	}
}

// endHead ends a head. After an interim one another follows.
func (s *headScanner) endHead() {
	interim := len(s.code) > 0 && s.code[0] == '1' && string(s.code) != "101"
	s.part, s.version, s.code = noHead, s.version[:0], s.code[:0]
	if interim {
		s.part = version
	}
}

func (s *headScanner) fault(err error) {
	if s.err == nil {
		s.err = err
	}
}
