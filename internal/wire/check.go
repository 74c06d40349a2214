package wire

import (
	"encoding/binary"
	"errors"

	"umberpaddle/internal/limits"
)

var errMalformed = errors.New("not a whole MessagePack value")

// Check walks a MessagePack value without decoding it. It guards against small
// bodies that announce huge or deeply nested maps: the decoder would make room
// for all of it before it finds nothing there, and the process would end for
// want of memory.
func Check(b []byte) error {
	rest, err := skip(b, 0)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errMalformed
	}
	return nil
}

// format is what the first byte of a value says of the rest.
type format struct {
	lengthBytes int    // how many bytes of length follow
	length      uint64 // the length, if none follow
	items       uint64 // values for each unit of length; 0: the length is in bytes
	valid       bool
}

// formatOf reads the first byte of a value.
func formatOf(first byte) format {
	switch {
	case first <= 0x7f || first >= 0xe0 || first == 0xc0 || first == 0xc2 || first == 0xc3:
		return format{valid: true} // small numbers, null, booleans
	case first <= 0x8f:
		return format{length: uint64(first & 0x0f), items: 2, valid: true} // small maps
	case first <= 0x9f:
		return format{length: uint64(first & 0x0f), items: 1, valid: true} // small lists
	case first <= 0xbf:
		return format{length: uint64(first & 0x1f), valid: true} // short texts
	case first >= 0xc4 && first <= 0xc6: // binary
		return format{lengthBytes: 1 << (first - 0xc4), valid: true}
	case first >= 0xd9 && first <= 0xdb: // texts
		return format{lengthBytes: 1 << (first - 0xd9), valid: true}
	case first == 0xca || first == 0xcb: // decimal numbers of 4 and 8 bytes
		return format{length: 4 << (first - 0xca), valid: true}
	case first >= 0xcc && first <= 0xcf: // whole numbers of 1 to 8 bytes
		return format{length: 1 << (first - 0xcc), valid: true}
	case first >= 0xd0 && first <= 0xd3: // signed ones
		return format{length: 1 << (first - 0xd0), valid: true}
	case first == 0xdc || first == 0xdd: // lists
		return format{lengthBytes: 2 << (first - 0xdc), items: 1, valid: true}
	case first == 0xde || first == 0xdf: // maps
		return format{lengthBytes: 2 << (first - 0xde), items: 2, valid: true}
	}
	return format{} // extensions are not in the protocol
}

// skip passes over one value.
func skip(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 || depth > limits.MaxDepth {
		return nil, errMalformed
	}
	f := formatOf(b[0])
	b = b[1:]
	if !f.valid || len(b) < f.lengthBytes {
		return nil, errMalformed
	}
	if f.lengthBytes > 0 {
		var length [8]byte
		copy(length[8-f.lengthBytes:], b[:f.lengthBytes])
		f.length = binary.BigEndian.Uint64(length[:])
		b = b[f.lengthBytes:]
	}
	// Every value takes a byte at least.
	if f.length > uint64(len(b)) || f.items*f.length > uint64(len(b)) {
		return nil, errMalformed
	}
	if f.items == 0 {
		return b[f.length:], nil
	}
	var err error
	for range f.items * f.length {
		if b, err = skip(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}
