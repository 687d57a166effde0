package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// lines returns a text of n lines that have little in common.
func lines(n int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var b bytes.Buffer
	for range n {
		fmt.Fprintf(&b, `{"name":"%016x","pathPrefix":"/%08x/","timeoutMs":8000,"maxAttempts":3}`+"\n", rng.Uint64(), rng.Uint32())
	}
	return b.Bytes()
}

func TestDeltaHoldsWhatIsNew(t *testing.T) {
	for _, n := range []int{0, 1, 20, 2000, 20000} {
		base := lines(n)
		next := append(bytes.Replace(base, []byte("8000"), []byte("9000"), 1), "an added line\n"...)
		for _, known := range [][]byte{nil, base} {
			encoded, err := Encode(known, next)
			assert.NilError(t, err)
			text, err := Decode(known, encoded, len(next))
			assert.NilError(t, err)
			assert.Assert(t, bytes.Equal(text, next))
			if n >= 20 && len(known) > 0 {
				assert.Assert(t, len(encoded) < 100+len(next)/1000, "%d bytes for one change in %d", len(encoded), len(next))
			}
		}
	}
}

func TestDeltaOfAnotherBase(t *testing.T) {
	base, next := lines(100), lines(101)
	encoded, err := Encode(base, next)
	assert.NilError(t, err)
	for _, other := range [][]byte{nil, lines(50), next} {
		text, err := Decode(other, encoded, len(next))
		assert.Assert(t, err != nil || !bytes.Equal(text, next))
	}
	_, err = Decode(base, encoded, len(next)-1)
	assert.Assert(t, err != nil, "it is larger than it says")
	_, err = Decode(base, encoded, len(next)+1)
	assert.ErrorContains(t, err, "want")
	_, err = Decode(base, encoded, MaxBytes+1)
	assert.ErrorContains(t, err, "at most")
	_, err = Encode(base, make([]byte, MaxBytes+1))
	assert.ErrorContains(t, err, "at most")
}

// A delta of another sender must cost no more memory than the text that it announces.
func FuzzDecode(f *testing.F) {
	base := lines(10)
	for _, next := range [][]byte{nil, []byte("x"), base, lines(12)} {
		encoded, err := Encode(base, next)
		assert.NilError(f, err)
		f.Add(encoded, uint16(len(next)))
	}
	f.Fuzz(func(t *testing.T, encoded []byte, size uint16) {
		text, err := Decode(base, encoded, int(size))
		if err == nil && len(text) != int(size) {
			t.Fatalf("%d bytes, want %d", len(text), size)
		}
	})
}
