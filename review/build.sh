#!/usr/bin/env bash
# Builds the stand-in program that the cases start: state service, cloud, workers and users.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
