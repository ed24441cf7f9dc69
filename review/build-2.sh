#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cpp; do
	name=$(basename "$source" .cpp)
	"${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra -o "target/review-2/$name" "$source"
done
