package usage

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Profile takes a CPU profile of the daemon with the given admin address, over
// the given time in whole seconds, and writes it to a file.
func Profile(admin, file string, over time.Duration) error {
	seconds := max(int(over.Seconds()), 1)
	resp, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", admin, seconds))
	if err != nil {
		return errors.Wrap(err, "fetch CPU profile")
	}
	defer resp.Body.Close()
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "create CPU profile")
	}
	defer out.Close()
	_, err = io.Copy(out, resp.Body)
	return errors.Wrap(err, "write CPU profile")
}
