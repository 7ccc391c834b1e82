#!/bin/bash
# Builds the stand-ins of the review into review/bin. It needs the module's dependencies but no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/...
