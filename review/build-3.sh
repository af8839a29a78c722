#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, or of those that are named, without a network. The deploy file's build comes before it.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin || exit 2
[ $# -gt 0 ] || set -- 11 12 13 14 15
for number; do
	GOPROXY=off GOTOOLCHAIN=local go build -o "bin/review-$number" "./review/$number" || exit 2
done
