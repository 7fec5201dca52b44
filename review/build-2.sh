#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 6 to 10. The system itself is built as the deploy file
# says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -tags review -o target/review-2/ ./review/scripts
