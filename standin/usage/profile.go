package usage

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"
)

// Profile writes a processor profile of the daemon at an admin address, taken
// over the given time, to a file.
func Profile(admin, file string, over time.Duration) error {
	seconds := max(int(over.Seconds()), 1)
	resp, err := http.Get(fmt.Sprintf("http://%s/debug/pprof/profile?seconds=%d", admin, seconds))
	if err != nil {
		return errors.Wrap(err, "profile")
	}
	defer resp.Body.Close()
	out, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "profile")
	}
	defer out.Close()
	_, err = io.Copy(out, resp.Body)
	return errors.Wrap(err, "profile")
}
