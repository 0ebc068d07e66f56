#!/bin/sh
# Builds the stand-ins of the cases' scripts, after the build line of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/bin/review-standin ./review/testdata/standin
