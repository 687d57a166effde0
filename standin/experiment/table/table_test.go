package table

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestTableFiles(t *testing.T) {
	t.Parallel()
	x := &Table{Name: "t", Title: "T", Header: []string{"load", "policy", "value"}, Value: 2}
	x.Fill(4, func(i int) []string { return []string{fmt.Sprint(i / 2), fmt.Sprint("p", i%2), fmt.Sprint(i)} })
	var text bytes.Buffer
	assert.NilError(t, x.WriteText(&text))
	assert.Equal(t, bytes.Count(text.Bytes(), []byte("\n")), 6)
	dir := t.TempDir()
	assert.NilError(t, x.Save(dir))
	plotted, err := os.Stat(filepath.Join(dir, "t.png"))
	assert.NilError(t, err)
	assert.Assert(t, plotted.Size() > 0)
	file, err := os.ReadFile(filepath.Join(dir, "t.csv"))
	assert.NilError(t, err)
	assert.Equal(t, string(file), "load,policy,value\n0,p0,0\n0,p1,1\n1,p0,2\n1,p1,3\n")
}
