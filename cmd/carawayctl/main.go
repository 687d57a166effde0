// Command carawayctl is the tool of operators.
package main

import "os"

func main() {
	os.Exit(1)
}
