package httpx

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// sentTarget returns the request target that net/http writes for a URL of TargetURL.
func sentTarget(t *testing.T, target string) (sent string, err error) {
	t.Helper()
	u, err := TargetURL("10.0.0.1:80", target)
	if err != nil {
		return "", err
	}
	var written bytes.Buffer
	if err := (&http.Request{Method: http.MethodGet, URL: u, Host: "h.example"}).Write(&written); err != nil {
		return "", err
	}
	line, rest, _ := strings.Cut(written.String(), "\n")
	sent, ok := strings.CutSuffix(strings.TrimPrefix(line, "GET "), " HTTP/1.1\r")
	assert.Assert(t, ok, "%q", line)
	assert.Assert(t, strings.HasPrefix(rest, "Host: h.example\r\n"), "%q", rest)
	return sent, nil
}

// A target that begins with two slashes was sent as an absolute one, which names another
// host.
func TestTargetIsSentByteForByte(t *testing.T) {
	for _, target := range []string{
		"/", "/a", "/a/", "/?", "/a?", "/a?b", "/a??b=%zz", "/a?b#c", "/a#b",
		"//lohu930/2f", "//", "///", "//?", "//a?b", "//a//b/", "//a/%2F/%2f", "//10.0.0.9:80/x", "//user@host/x", "//a;b=c,d:e!$&'()*+", "//a?{}|\xff\"",
		"/a//b", "/./a", "/../a", "/a/..", "/a%2Fb", "/%2f%2Fa", "/%2e%2e/a", "/a%", "/a%zz", "/%00", "/a:b", "/a:80/b", "/*", "/a*b",
		"/\xff\xfe", "/é", "/a\"b<c>d{e}f|g\\h^i`j", "/@", "/http://other.example/x", "/" + strings.Repeat("a", 5000),
	} {
		sent, err := sentTarget(t, target)
		assert.NilError(t, err, "%q", target)
		assert.Equal(t, sent, target)
	}
}

func TestTargetThatCannotBeSent(t *testing.T) {
	for _, target := range []string{
		"", "*", "a", "http://other.example/x", "other.example:80", "?", "//\xff", "//a b", "//a%zz", "//a|b", "//%", "//\"",
	} {
		_, err := TargetURL("10.0.0.1:80", target)
		assert.Assert(t, err != nil, "%q", target)
		assert.Assert(t, len(err.Error()) < 600, "%s", err)
	}
}

func FuzzTarget(f *testing.F) {
	for _, target := range []string{"/a?b", "//a/%2f?c", "///", "/\xff", "*", "http://other.example/x", "//a|b", "/a\r\nX: y"} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if sent, err := sentTarget(t, target); err == nil && sent != target {
			t.Fatalf("%q is sent as %q", target, sent)
		}
	})
}
