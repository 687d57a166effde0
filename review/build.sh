#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The build of the deploy file goes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/rig ./review/_rig
