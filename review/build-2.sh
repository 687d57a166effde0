#!/bin/bash
# Builds what the scripts of cases 6 to 10 start beside the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_rig2
