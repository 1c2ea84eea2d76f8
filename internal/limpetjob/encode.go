package limpetjob

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"unicode/utf8"

	"limpetmount.org/internal/limpeterror"
	"limpetmount.org/internal/limpetstore"
)

// maxUnpackedBytes bounds a packed value once it is unpacked, in bytes.
const maxUnpackedBytes = 64 << 20

// encodeValue returns the JSON form of what this package stores, whose types always
// encode. Characters of HTML are not escaped, which would make them six times as long.
func encodeValue(v any) []byte {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	// Strings, integers and booleans always encode.
	_ = e.Encode(v)
	return bytes.TrimSuffix(b.Bytes(), []byte("\n"))
}

// pack compresses a value that is larger than the store takes.
func pack(data []byte) []byte {
	if len(data) <= limpetstore.MaxValue {
		return data
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a buffer do not fail.
	_, _ = w.Write(data)
	_ = w.Close()
	return b.Bytes()
}

// gzipMagic begins a packed value. No JSON text begins like that.
var gzipMagic = []byte{0x1f, 0x8b}

// unpack returns the JSON form of a value.
func unpack(data []byte) ([]byte, error) {
	if !bytes.HasPrefix(data, gzipMagic) {
		return data, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "packed value")
	}
	unpacked, err := io.ReadAll(io.LimitReader(r, maxUnpackedBytes))
	if err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "packed value")
	}
	return unpacked, nil
}

// EncodedLen returns the length of a text in what this package stores.
func EncodedLen(text string) int {
	n := 0
	for i := 0; i < len(text); {
		c := text[i]
		if c < utf8.RuneSelf {
			n += encodedASCII(c)
			i++
			continue
		}
		r, size := utf8.DecodeRuneInString(text[i:])
		if (r == utf8.RuneError && size == 1) || r == '\u2028' || r == '\u2029' {
			n += escapeLen
		} else {
			n += size
		}
		i += size
	}
	return n
}

// escapeLen is the length of an escape like \u0001.
const escapeLen = 6

func encodedASCII(c byte) int {
	switch {
	case c == '"' || c == '\\' || c == '\n' || c == '\r' || c == '\t' || c == '\b' || c == '\f':
		return 2
	case c < ' ':
		return escapeLen
	}
	return 1
}
