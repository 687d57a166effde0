package journal

import (
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// kindSnapshot is the kind of the records of the snapshot stream.
const kindSnapshot Kind = "journal.snapshot"

const (
	// chunkBytes is the maximum data size of one snapshot record, in bytes.
	chunkBytes = 256 << 10
	// maxChunks is the maximum number of records of one snapshot.
	maxChunks = 1024
)

// chunk is the body of one record of the snapshot stream: one part of a State.
type chunk struct {
	Snapshot RecordID `cbor:"1,keyasint"` // identical in all chunks of a snapshot
	Index    int      `cbor:"2,keyasint"`
	Count    int      `cbor:"3,keyasint"`
	Stream   Stream   `cbor:"4,keyasint"`
	Next     Offset   `cbor:"5,keyasint"`
	Format   uint16   `cbor:"6,keyasint"`
	Checksum uint64   `cbor:"7,keyasint"` // of the complete data
	Data     []byte   `cbor:"8,keyasint"`
}

// split divides a state into chunks. It returns ErrTooLarge if the state needs
// more than maxChunks.
func split(s State) ([]chunk, error) {
	count := max(1, (len(s.Data)+chunkBytes-1)/chunkBytes)
	if count > maxChunks {
		return nil, errors.Wrapf(ErrTooLarge, "snapshot of %d bytes", len(s.Data))
	}
	id := RecordID(uuid.New())
	chunks := make([]chunk, count)
	for i := range chunks {
		data := s.Data[i*chunkBytes : min((i+1)*chunkBytes, len(s.Data))]
		chunks[i] = chunk{
			Snapshot: id, Index: i, Count: count, Stream: s.Stream,
			Next: s.Next, Format: s.Format, Checksum: s.Checksum, Data: data,
		}
	}
	return chunks, nil
}

// assembly collects the chunks of one snapshot, which may arrive in any order.
type assembly struct {
	chunks   []*chunk
	received int
}

// add stores a chunk and returns the state once all chunks are present. It does
// not verify the checksum.
func (a *assembly) add(c *chunk) (State, bool) {
	if a.chunks == nil {
		a.chunks = make([]*chunk, c.Count)
	}
	if c.Count != len(a.chunks) || a.chunks[c.Index] != nil {
		return State{}, false
	}
	a.chunks[c.Index] = c
	a.received++
	if a.received < len(a.chunks) {
		return State{}, false
	}
	s := State{Stream: c.Stream, Next: c.Next, Format: c.Format, Checksum: c.Checksum}
	for _, part := range a.chunks {
		s.Data = append(s.Data, part.Data...)
	}
	return s, true
}

// decodeChunk decodes a payload of the snapshot stream and validates its index.
func decodeChunk(payload []byte) (*chunk, error) {
	rec, err := DecodeRecord(payload)
	if err != nil {
		return nil, err
	}
	if rec.Kind != kindSnapshot {
		return nil, errors.Errorf("unexpected record kind %q in the snapshot stream", rec.Kind)
	}
	var c chunk
	if err := Decode(rec.Body, &c); err != nil {
		return nil, err
	}
	if c.Count < 1 || c.Count > maxChunks || c.Index < 0 || c.Index >= c.Count {
		return nil, errors.Errorf("invalid snapshot chunk: index %d of %d", c.Index, c.Count)
	}
	return &c, nil
}
