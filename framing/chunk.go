package framing

func (s *scanner) beginChunk() { s.state, s.position, s.left = inChunkSize, 0, 0 }

// nextOfChunk checks an octet of the size, the extensions or the end of a chunk. Lines of chunks
// end with a carriage return and a line feed only.
func (s *scanner) nextOfChunk(c byte) error {
	switch s.state {
	case inChunkSize:
		if digit, ok := hexValue(c); ok && s.position < maxChunkSizeDigits {
			s.left = s.left<<4 | digit
			s.position++
			return nil
		}
		if s.position == 0 {
			return malformed("the size of a chunk begins with " + quote(c))
		}
		return s.endChunkSize(c, "the size of a chunk")
	case afterChunkSize:
		return s.endChunkSize(c, "the size of a chunk is followed by white space and")
	case inChunkExtension:
		if c == '\r' {
			s.state = chunkLineEnd
		} else if !isText(c) {
			return malformed("the extension of a chunk has " + quote(c))
		}
	case chunkReturn:
		if c != '\r' {
			return malformed("a chunk is followed by " + quote(c))
		}
		s.state = chunkEnd
	default:
		if c != '\n' {
			return malformed("a carriage return in a chunked body is followed by " + quote(c))
		}
		switch {
		case s.state == chunkEnd:
			s.beginChunk()
		case s.left == 0:
			s.beginFields(true)
		default:
			s.state = inChunk
		}
	}
	return nil
}

// endChunkSize checks an octet that follows the digits of the size of a chunk.
func (s *scanner) endChunkSize(c byte, element string) error {
	switch c {
	case ' ', '\t':
		s.state = afterChunkSize
	case ';':
		s.state = inChunkExtension
	case '\r':
		s.state = chunkLineEnd
	default:
		return malformed(element + " has " + quote(c))
	}
	return nil
}

// hexValue returns the value of a hexadecimal digit.
func hexValue(c byte) (value uint64, ok bool) {
	switch c = toLower(c); {
	case isDigit(c):
		return uint64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return uint64(c-'a') + 10, true
	default:
		return 0, false
	}
}
