package store

import (
	"bytes"
	"compress/gzip"
	"io"
	"slices"
)

const (
	// maxRecord is the largest record that the store takes, in bytes with its key.
	maxRecord = 256 << 10
	// packAbove is the size above which values are compressed. Builds that do not read compressed
	// values could not store such large ones.
	packAbove = 192 << 10
	// maxUnpacked bounds a value that was compressed.
	maxUnpacked = 32 << 20
)

// gzipMagic begins compressed values. All others are texts, which do not begin so.
var gzipMagic = []byte{0x1f, 0x8b}

// Fits reports whether the store takes a record.
func Fits(r Record) bool { return 1+len(r.Key)+len(pack(r.Value)) <= maxRecord }

// pack returns a value as it is stored.
func pack(value []byte) []byte {
	if len(value) <= packAbove {
		return value
	}
	var b bytes.Buffer
	// The level is valid, and a buffer takes all that is written to it.
	w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	_, _ = w.Write(value)
	_ = w.Close()
	return b.Bytes()
}

// unpack returns a value that was stored. What cannot be decompressed is returned as it is, and fails
// where it is decoded.
func unpack(value []byte) []byte {
	if !bytes.HasPrefix(value, gzipMagic) {
		return value
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return value
	}
	b, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil || len(b) > maxUnpacked {
		return value
	}
	return b
}

// packAll returns records as they are stored.
func packAll(all []Record) []Record {
	packed := make([]Record, len(all))
	for i, r := range all {
		r.Value = pack(r.Value)
		packed[i] = r
	}
	return packed
}

// unpackAll returns records that were read.
func unpackAll(all []Record) []Record {
	packed := func(r Record) bool { return bytes.HasPrefix(r.Value, gzipMagic) }
	if !slices.ContainsFunc(all, packed) {
		return all
	}
	unpacked := slices.Clone(all)
	for i := range unpacked {
		unpacked[i].Value = unpack(unpacked[i].Value)
	}
	return unpacked
}
