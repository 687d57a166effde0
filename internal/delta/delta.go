// Package delta encodes a text as what it does not share with an earlier one.
package delta

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/pkg/errors"
)

// MaxBytes bounds the texts.
const MaxBytes = 16 << 20

// minWindow is the smallest window of an encoder, a power of two.
const minWindow = 64 << 10

// baseID names the base in a delta, whatever it is.
const baseID = 1

// Encode returns a delta from which Decode gets next with the same base. An empty base
// is that of a text of which nothing is known.
func Encode(base, next []byte) ([]byte, error) {
	if len(base) > MaxBytes || len(next) > MaxBytes {
		return nil, errors.Errorf("base and text have %d and %d bytes, want at most %d", len(base), len(next), MaxBytes)
	}
	window := 1 << bits.Len(uint(max(len(base)+len(next), minWindow)-1))
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(window), zstd.WithLowerEncoderMem(true)}
	if len(base) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	w, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "delta encoder")
	}
	defer w.Close()
	return w.EncodeAll(next, nil), nil
}

// Decode returns the text that a delta encodes, which has size bytes. Base must be the
// one with which it was encoded: with another one the result is an error or another text.
func Decode(base, delta []byte, size int) ([]byte, error) {
	if size < 0 || size > MaxBytes {
		return nil, errors.Errorf("the text has %d bytes, want at most %d", size, MaxBytes)
	}
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecodeAllCapLimit(true), zstd.WithDecoderMaxWindow(4 * MaxBytes),
	}
	if len(base) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	r, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, errors.Wrap(err, "delta decoder")
	}
	defer r.Close()
	text, err := r.DecodeAll(delta, make([]byte, 0, size))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "decode a delta")
	case len(text) != size:
		return nil, errors.Errorf("a delta encodes %d bytes, want %d", len(text), size)
	}
	return text, nil
}
