#!/bin/sh
# Builds the stand-ins of the cases 11 to 13 to target/review-3: the platform's store, the
# upstreams and the clients. The build of the deploy file builds the project's program.
set -e
cd "$(dirname "$0")/11/platform"
GOFLAGS=-mod=mod GOWORK=off go build -o ../../../target/review-3 .
