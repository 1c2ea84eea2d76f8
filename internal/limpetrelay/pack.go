package limpetrelay

import (
	"bytes"
	"compress/gzip"
	"io"

	"limpetmount.org/internal/limpeterror"
)

const (
	// minPacked is the size of data from which on it is packed, in bytes.
	minPacked = 4 << 10
	// maxUnpacked bounds unpacked data, in bytes. The store's values are smaller.
	maxUnpacked = 8 << 20
)

// pack returns data in gzip format, or nil if it is small or does not become smaller. A
// value is packed once, when it changes, and not for each VM that gets it.
func pack(data []byte) []byte {
	if len(data) < minPacked {
		return nil
	}
	var b bytes.Buffer
	// Writing to a buffer does not fail.
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	_, _ = w.Write(data)
	_ = w.Close()
	if b.Len() >= len(data) {
		return nil
	}
	return b.Bytes()
}

// unpack returns packed data.
func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, limpeterror.Invalid.Wrap(err, "packed data")
	}
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	switch {
	case err != nil:
		return nil, limpeterror.Invalid.Wrap(err, "packed data")
	case len(data) > maxUnpacked:
		return nil, limpeterror.Invalid.New("packed data of more than %d bytes", maxUnpacked)
	}
	return data, nil
}
