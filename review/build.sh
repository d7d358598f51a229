#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start; they stand beside case 1.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review-platform ./1/platform
