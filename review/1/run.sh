#!/usr/bin/env bash
# Runs the case; see claim.txt. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec target/review/standin paused-account review/1/record.txt
