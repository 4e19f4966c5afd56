#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. The build of deploy/system.toml comes before it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/_standin
