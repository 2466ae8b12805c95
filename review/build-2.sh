#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standins2 ./review/4/standins
