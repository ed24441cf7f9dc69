#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cpp; do
	[ -e "$source" ] || continue
	g++ -std=c++20 -O1 -Wall -Wextra -o "target/review-3/$(basename "$(dirname "$source")")" "$source"
done
