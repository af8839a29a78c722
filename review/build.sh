#!/usr/bin/env bash
# Builds the cases' stand-ins into bin/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
for n in review/[0-9]; do
	go build -o "bin/review-$(basename "$n")" "./$n"
done
