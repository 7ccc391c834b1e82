#!/bin/bash
# Builds the stand-ins of the second review's cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-second ./review/second
