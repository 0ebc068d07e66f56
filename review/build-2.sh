#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10.
cd "$(dirname "$0")/.." && exec go build -o target/bin/review-2 ./review/testdata/second
