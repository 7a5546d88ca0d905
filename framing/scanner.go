package framing

import (
	"strconv"
	"strings"
)

// state is the element of a response to which the next octet belongs.
type state uint8

const (
	// notExpected: no response is expected, or the last one is complete.
	notExpected state = iota
	// inVersion, inMinorVersion, beforeStatus, inStatus, afterStatus and inReason are the elements
	// of the status line.
	inVersion
	inMinorVersion
	beforeStatus
	inStatus
	afterStatus
	inReason
	// lineEnd is the line feed after a carriage return.
	lineEnd
	// lineStart is the first octet of a line after the status line, or of the trailers.
	lineStart
	// inName and inValue are the elements of a field line.
	inName
	inValue
	// sectionEnd is the line feed that ends the head or the trailers.
	sectionEnd
	// inBody is a body of known length, and untilClose one that ends with the connection.
	inBody
	untilClose
	// inChunkSize, afterChunkSize, inChunkExtension, chunkLineEnd, inChunk, chunkReturn and
	// chunkEnd are the elements of a chunk.
	inChunkSize
	afterChunkSize
	inChunkExtension
	chunkLineEnd
	inChunk
	chunkReturn
	chunkEnd
)

const (
	// versionPrefix starts all responses of HTTP/1.
	versionPrefix = "HTTP/1."
	statusDigits  = 3
	// maxChunkSizeDigits is the number of digits that fit into 64 bits.
	maxChunkSizeDigits = 16

	switchingProtocols = 101
	firstFinalStatus   = 200
	noContent          = 204
	notModified        = 304

	// Names of fields in lower case.
	transferEncoding = "transfer-encoding"
	contentLength    = "content-length"
)

// fieldKind tells apart the fields that determine the length of the body.
type fieldKind uint8

const (
	otherField fieldKind = iota
	transferEncodingField
	contentLengthField
)

// scanner checks the octets of the responses on a connection. Its zero value expects none.
type scanner struct {
	state state
	// isHead is true if the response answers a HEAD request.
	isHead bool
	// position is the number of octets of the present element that have been read.
	position int
	minor    byte
	status   int

	// name has the name of the present field in lower case, as far as it fits. value has its value
	// if field is not otherField.
	name  [len(transferEncoding)]byte
	field fieldKind
	value []byte
	// isFirstLine is true until a field of the section has begun.
	isFirstLine bool
	inTrailers  bool

	// isChunked and hasLength state what the head says of the body, whose length is length.
	isChunked, hasLength bool
	length               uint64
	// left is the number of octets of the body or the chunk that have not been read.
	left uint64
}

func (s *scanner) isExpecting() bool { return s.state != notExpected }

// expect prepares for the response to a request with the method. It has no effect within a
// response.
func (s *scanner) expect(method string) {
	if !s.isExpecting() {
		s.isHead = method == "HEAD"
		s.beginHead()
	}
}

func (s *scanner) beginHead() {
	s.state, s.position, s.status = inVersion, 0, 0
	s.isChunked, s.hasLength = false, false
}

// scan checks the next octets. n is less than their number if the response ends within them.
func (s *scanner) scan(octets []byte) (n int, err error) {
	for n < len(octets) && s.isExpecting() {
		switch s.state {
		case untilClose:
			return len(octets), nil
		case inBody, inChunk:
			n += s.skip(len(octets) - n)
		default:
			if n += s.skipText(octets[n:]); n == len(octets) {
				return n, nil
			}
			if err = s.next(octets[n]); err != nil {
				return n, err
			}
			n++
		}
	}
	return n, nil
}

// skip passes over up to available octets of a body or a chunk.
func (s *scanner) skip(available int) (skipped int) {
	skipped = int(min(s.left, uint64(available)))
	s.left -= uint64(skipped)
	switch {
	case s.left > 0:
	case s.state == inBody:
		s.state = notExpected
	default:
		s.state = chunkReturn
	}
	return skipped
}

// skipText passes over the text at the beginning of octets where no octet of it is needed. Most
// of a head is such text.
func (s *scanner) skipText(octets []byte) (skipped int) {
	if s.state != inReason && (s.state != inValue || s.field != otherField) {
		return 0
	}
	for skipped < len(octets) && isText(octets[skipped]) {
		skipped++
	}
	return skipped
}

// next checks one octet outside a body.
func (s *scanner) next(c byte) error {
	switch {
	case s.state < lineEnd:
		return s.nextOfStatusLine(c)
	case s.state < inBody:
		return s.nextOfFields(c)
	default:
		return s.nextOfChunk(c)
	}
}

func (s *scanner) nextOfStatusLine(c byte) error {
	switch s.state {
	case inVersion:
		if c != versionPrefix[s.position] {
			return malformed("it does not begin with the version HTTP/1")
		}
		if s.position++; s.position == len(versionPrefix) {
			s.state = inMinorVersion
		}
	case inMinorVersion:
		if !isDigit(c) {
			return malformed("the minor version is " + quote(c))
		}
		s.minor, s.state = c, beforeStatus
	case beforeStatus:
		if c != ' ' {
			return malformed("the version is followed by " + quote(c))
		}
		s.state, s.position = inStatus, 0
	case inStatus:
		return s.nextOfStatus(c)
	case afterStatus:
		// The space may be missing if there is no reason phrase.
		if c != ' ' && !isLineEnd(c) {
			return malformed("the status code is followed by " + quote(c))
		}
		s.state = inReason
		if isLineEnd(c) {
			s.endLine(c)
		}
	default:
		return s.nextOfText(c, "the reason phrase")
	}
	return nil
}

// nextOfStatus checks a digit of the status code, which is 100 to 599.
func (s *scanner) nextOfStatus(c byte) error {
	if !isDigit(c) || s.position == 0 && (c < '1' || c > '5') {
		return malformed("the status code has " + quote(c) + ", expected a code of 100 to 599")
	}
	s.status = 10*s.status + int(c-'0')
	if s.position++; s.position < statusDigits {
		return nil
	}
	s.state = afterStatus
	if s.status == switchingProtocols {
		return malformed("it changes the protocol without a request to do so")
	}
	return nil
}

// nextOfText checks an octet of a reason phrase or a field value.
func (s *scanner) nextOfText(c byte, element string) error {
	switch {
	case isLineEnd(c):
		s.endLine(c)
	case !isText(c):
		return malformed(element + " has " + quote(c))
	case s.state == inValue && s.field != otherField:
		s.value = append(s.value, c)
	}
	return nil
}

// endLine ends a line at a carriage return or a line feed. A line feed alone is accepted
// (RFC 9112, section 2.2).
func (s *scanner) endLine(c byte) {
	if s.state == inReason {
		s.beginFields(false)
	}
	s.state = lineStart
	if c == '\r' {
		s.state = lineEnd
	}
}

func (s *scanner) beginFields(trailers bool) {
	s.state, s.inTrailers, s.isFirstLine, s.field = lineStart, trailers, true, otherField
}

func (s *scanner) nextOfFields(c byte) error {
	switch s.state {
	case lineEnd, sectionEnd:
		if c != '\n' {
			return malformed("a carriage return is followed by " + quote(c))
		}
		if s.state == sectionEnd {
			return s.endSection()
		}
		s.state = lineStart
	case lineStart:
		return s.startLine(c)
	case inName:
		return s.nextOfName(c)
	default:
		return s.nextOfText(c, "the value of a field")
	}
	return nil
}

func (s *scanner) startLine(c byte) error {
	if c == ' ' || c == '\t' {
		if s.isFirstLine {
			return malformed("the first field line begins with white space")
		}
		// net/http replaces the fold of a value with a space (RFC 9112, section 5.2).
		s.state = inValue
		return s.nextOfText(c, "the value of a field")
	}
	if err := s.endField(); err != nil {
		return err
	}
	switch c {
	case '\r':
		s.state = sectionEnd
		return nil
	case '\n':
		return s.endSection()
	default:
		s.state, s.position, s.isFirstLine = inName, 0, false
		if c == ':' {
			return malformed("the name of a field is empty")
		}
		return s.nextOfName(c)
	}
}

// nextOfName checks an octet of the name of a field, or the colon after it.
func (s *scanner) nextOfName(c byte) error {
	switch {
	case c == ':':
		s.state, s.field, s.value = inValue, s.fieldOfName(), s.value[:0]
		return nil
	case !isToken[c]:
		return malformed("the name of a field has " + quote(c))
	case s.position < len(s.name):
		s.name[s.position] = toLower(c)
	}
	s.position++
	return nil
}

// fieldOfName returns the kind of the field whose name has been read. Trailers determine no length.
func (s *scanner) fieldOfName() fieldKind {
	switch {
	case s.inTrailers || s.position > len(s.name):
		return otherField
	case string(s.name[:s.position]) == transferEncoding:
		return transferEncodingField
	case string(s.name[:s.position]) == contentLength:
		return contentLengthField
	default:
		return otherField
	}
}

// endField evaluates a field that determines the length of the body.
func (s *scanner) endField() error {
	field, value := s.field, strings.Trim(string(s.value), " \t")
	s.field = otherField
	switch field {
	case transferEncodingField:
		if s.isChunked || !strings.EqualFold(value, "chunked") {
			return malformed("it has another transfer coding than chunked")
		}
		s.isChunked = true
		return nil
	case contentLengthField:
		return s.setLength(value)
	default:
		return nil
	}
}

func (s *scanner) setLength(value string) error {
	// A length that does not fit into 63 bits is invalid for net/http too.
	length, err := strconv.ParseUint(value, 10, 63)
	if err != nil || s.hasLength && length != s.length {
		return malformed("the content length is invalid")
	}
	s.hasLength, s.length = true, length
	return nil
}

// endSection ends the head or the trailers.
func (s *scanner) endSection() error {
	switch {
	case s.inTrailers:
		s.state = notExpected
	case s.isChunked && s.hasLength:
		return malformed("it has both a content length and a transfer coding")
	case s.isChunked && s.minor == '0':
		return malformed("it has a transfer coding, which HTTP/1.0 lacks")
	case s.status < firstFinalStatus:
		s.beginHead()
	case s.isHead, s.status == noContent, s.status == notModified:
		s.state = notExpected
	case s.isChunked:
		s.beginChunk()
	case !s.hasLength:
		s.state = untilClose
	case s.length == 0:
		s.state = notExpected
	default:
		s.state, s.left = inBody, s.length
	}
	return nil
}

// quote returns an octet for a message.
func quote(c byte) string { return strconv.QuoteToASCII(string(rune(c))) }

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

func isLineEnd(c byte) bool { return c == '\r' || c == '\n' }

// isText reports whether a field value, a reason phrase or an extension of a chunk may contain
// the octet. Control characters other than the tab are excluded.
func isText(c byte) bool { return c >= ' ' && c != 0x7f || c == '\t' }

// isToken has the octets that the name of a field may contain (RFC 9110, section 5.6.2).
var isToken = func() (octets [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ") {
		octets[c] = true
	}
	return octets
}()

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		c += 'a' - 'A'
	}
	return c
}
