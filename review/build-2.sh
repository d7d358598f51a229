#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10: the platform's store, the upstreams and the
# clients. The build of the deploy file builds the project's program.
set -euo pipefail
cd "$(dirname "$0")/6/platform"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../../target/review-2 .
