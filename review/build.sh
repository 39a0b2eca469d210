#!/bin/bash
# Builds the stand-ins of all cases into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
go build -o bin/ ./...
