#!/bin/sh
# Builds the programs of the cases in review/6 to review/10; the sidecar itself is built by the deploy file.
cd "$(dirname "$0")/.." || exit 1
mkdir -p bin
for folder in review/6 review/7 review/8 review/9 review/10; do
	test -f "$folder/main.go" || continue
	go build -o "bin/review-$(basename "$folder")" "./$folder" || exit 1
done
