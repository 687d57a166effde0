#!/bin/bash
# Builds what the scripts of the cases from 11 on start beside the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_rig3
