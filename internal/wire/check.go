package wire

import (
	"encoding/binary"
	"errors"

	"umberpaddle/internal/limits"
)

var errMalformed = errors.New("not a whole MessagePack value")

// CheckWellFormed checks the structure of a MessagePack value without decoding it. Without this
// check, a small body that announces huge or deeply nested maps would make the decoder allocate
// memory for all announced entries, and the process would run out of memory.
func CheckWellFormed(b []byte) error {
	rest, err := skipValue(b, 0)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errMalformed
	}
	return nil
}

// valueHeader is the type and size of a value, as its first byte specifies them.
type valueHeader struct {
	lengthBytes    int    // size of the length field after the first byte; 0: there is none
	length         uint64 // number of entries or bytes, if there is no length field
	valuesPerEntry uint64 // values per entry of a list or map; 0: the length is in bytes
	valid          bool
}

// parseHeader parses the first byte of a value.
func parseHeader(first byte) valueHeader {
	switch {
	case first <= 0x7f || first >= 0xe0 || first == 0xc0 || first == 0xc2 || first == 0xc3:
		return valueHeader{valid: true} // small integers, null, booleans
	case first <= 0x8f:
		return valueHeader{length: uint64(first & 0x0f), valuesPerEntry: 2, valid: true} // small maps
	case first <= 0x9f:
		return valueHeader{length: uint64(first & 0x0f), valuesPerEntry: 1, valid: true} // small lists
	case first <= 0xbf:
		return valueHeader{length: uint64(first & 0x1f), valid: true} // short strings
	case first >= 0xc4 && first <= 0xc6: // binary
		return valueHeader{lengthBytes: 1 << (first - 0xc4), valid: true}
	case first >= 0xd9 && first <= 0xdb: // strings
		return valueHeader{lengthBytes: 1 << (first - 0xd9), valid: true}
	case first == 0xca || first == 0xcb: // floating-point numbers of 4 and 8 bytes
		return valueHeader{length: 4 << (first - 0xca), valid: true}
	case first >= 0xcc && first <= 0xcf: // unsigned integers of 1 to 8 bytes
		return valueHeader{length: 1 << (first - 0xcc), valid: true}
	case first >= 0xd0 && first <= 0xd3: // signed integers of 1 to 8 bytes
		return valueHeader{length: 1 << (first - 0xd0), valid: true}
	case first == 0xdc || first == 0xdd: // lists
		return valueHeader{lengthBytes: 2 << (first - 0xdc), valuesPerEntry: 1, valid: true}
	case first == 0xde || first == 0xdf: // maps
		return valueHeader{lengthBytes: 2 << (first - 0xde), valuesPerEntry: 2, valid: true}
	}
	return valueHeader{} // the protocol has no extension types
}

// skipValue skips one value and returns the bytes after it.
func skipValue(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 || depth > limits.MaxNestingDepth {
		return nil, errMalformed
	}
	header := parseHeader(b[0])
	b = b[1:]
	if !header.valid || len(b) < header.lengthBytes {
		return nil, errMalformed
	}
	if header.lengthBytes > 0 {
		var length [8]byte
		copy(length[8-header.lengthBytes:], b[:header.lengthBytes])
		header.length = binary.BigEndian.Uint64(length[:])
		b = b[header.lengthBytes:]
	}
	// Every value takes at least one byte, so a length greater than the rest of the input is malformed.
	if header.length > uint64(len(b)) || header.valuesPerEntry*header.length > uint64(len(b)) {
		return nil, errMalformed
	}
	if header.valuesPerEntry == 0 {
		return b[header.length:], nil
	}
	var err error
	for range header.valuesPerEntry * header.length {
		if b, err = skipValue(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}
