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
func CheckWellFormed(data []byte) error {
	rest, err := skipValue(data, 0)
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
func parseHeader(firstByte byte) valueHeader {
	switch {
	case firstByte <= 0x7f || firstByte >= 0xe0 || firstByte == 0xc0 || firstByte == 0xc2 || firstByte == 0xc3:
		return valueHeader{valid: true} // small integers, null, booleans
	case firstByte <= 0x8f:
		return valueHeader{length: uint64(firstByte & 0x0f), valuesPerEntry: 2, valid: true} // small maps
	case firstByte <= 0x9f:
		return valueHeader{length: uint64(firstByte & 0x0f), valuesPerEntry: 1, valid: true} // small lists
	case firstByte <= 0xbf:
		return valueHeader{length: uint64(firstByte & 0x1f), valid: true} // short strings
	case firstByte >= 0xc4 && firstByte <= 0xc6: // binary
		return valueHeader{lengthBytes: 1 << (firstByte - 0xc4), valid: true}
	case firstByte >= 0xd9 && firstByte <= 0xdb: // strings
		return valueHeader{lengthBytes: 1 << (firstByte - 0xd9), valid: true}
	case firstByte == 0xca || firstByte == 0xcb: // floating-point numbers of 4 and 8 bytes
		return valueHeader{length: 4 << (firstByte - 0xca), valid: true}
	case firstByte >= 0xcc && firstByte <= 0xcf: // unsigned integers of 1 to 8 bytes
		return valueHeader{length: 1 << (firstByte - 0xcc), valid: true}
	case firstByte >= 0xd0 && firstByte <= 0xd3: // signed integers of 1 to 8 bytes
		return valueHeader{length: 1 << (firstByte - 0xd0), valid: true}
	case firstByte == 0xdc || firstByte == 0xdd: // lists
		return valueHeader{lengthBytes: 2 << (firstByte - 0xdc), valuesPerEntry: 1, valid: true}
	case firstByte == 0xde || firstByte == 0xdf: // maps
		return valueHeader{lengthBytes: 2 << (firstByte - 0xde), valuesPerEntry: 2, valid: true}
	}
	return valueHeader{} // the protocol has no extension types
}

// skipValue skips one value and returns the bytes after it.
func skipValue(data []byte, depth int) ([]byte, error) {
	if len(data) == 0 || depth > limits.MaxNestingDepth {
		return nil, errMalformed
	}
	header := parseHeader(data[0])
	data = data[1:]
	if !header.valid || len(data) < header.lengthBytes {
		return nil, errMalformed
	}
	if header.lengthBytes > 0 {
		var length [8]byte
		copy(length[8-header.lengthBytes:], data[:header.lengthBytes])
		header.length = binary.BigEndian.Uint64(length[:])
		data = data[header.lengthBytes:]
	}
	// Every value takes at least one byte, so a length greater than the rest of the input is malformed.
	if header.length > uint64(len(data)) || header.valuesPerEntry*header.length > uint64(len(data)) {
		return nil, errMalformed
	}
	if header.valuesPerEntry == 0 {
		return data[header.length:], nil
	}
	var err error
	for range header.valuesPerEntry * header.length {
		if data, err = skipValue(data, depth+1); err != nil {
			return nil, err
		}
	}
	return data, nil
}
