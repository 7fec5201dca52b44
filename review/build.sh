#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases. The system itself is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -tags review -o review/bin/ ./review/standin
