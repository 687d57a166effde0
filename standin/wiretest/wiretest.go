// Package wiretest compares messages of earlier versions with the present ones in
// tests: daemons of both versions run side by side while the system is upgraded.
package wiretest

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Messages are recorded messages by name.
type Messages map[string][]byte

// Parse reads recorded messages: lines of a name and the bytes in hexadecimal.
// Lines that begin with # are comments.
func Parse(text io.Reader) (Messages, error) {
	out := Messages{}
	lines := bufio.NewScanner(text)
	for lines.Scan() {
		line := lines.Text()
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, digits, found := strings.Cut(line, " ")
		data, err := hex.DecodeString(digits)
		if err != nil || !found || out[name] != nil {
			return nil, errors.Errorf("line %q is not a new name and bytes in hexadecimal", line)
		}
		out[name] = data
	}
	return out, errors.Wrap(lines.Err(), "read recorded messages")
}

// Extends returns an error unless each part of the CBOR item old has the same key,
// type and value in present. Maps of present may hold more keys, which a decoder
// passes over that does not know them. Arrays may not hold more elements, because
// decoders refuse them.
func Extends(old, present []byte) error { return extends("message", old, present) }

const majorTypeShift = 5

// Major types of CBOR items.
const (
	majorArray = 4
	majorMap   = 5
)

func extends(path string, old, present cbor.RawMessage) error {
	if len(old) == 0 || len(present) == 0 {
		return errors.Errorf("%s: no item", path)
	}
	major := old[0] >> majorTypeShift
	switch {
	case major == majorMap && present[0]>>majorTypeShift == majorMap:
		var a, b map[any]cbor.RawMessage
		if err := unmarshalBoth(path, old, &a, present, &b); err != nil {
			return err
		}
		for key, value := range a {
			if err := extends(fmt.Sprintf("%s.%v", path, key), value, b[key]); err != nil {
				return err
			}
		}
	case major == majorArray && present[0]>>majorTypeShift == majorArray:
		var a, b []cbor.RawMessage
		if err := unmarshalBoth(path, old, &a, present, &b); err != nil {
			return err
		}
		if len(a) != len(b) {
			return errors.Errorf("%s: %d elements, want %d", path, len(b), len(a))
		}
		for i := range a {
			if err := extends(fmt.Sprintf("%s[%d]", path, i), a[i], b[i]); err != nil {
				return err
			}
		}
	case !bytes.Equal(old, present):
		return errors.Errorf("%s: %x, want %x", path, []byte(present), []byte(old))
	}
	return nil
}

func unmarshalBoth(path string, old cbor.RawMessage, a any, present cbor.RawMessage, b any) error {
	if err := cbor.Unmarshal(old, a); err != nil {
		return errors.Wrapf(err, "%s: old", path)
	}
	return errors.Wrapf(cbor.Unmarshal(present, b), "%s: present", path)
}
