#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p build
for source in *.cpp; do
	g++ -std=c++20 -O1 -Wall -Wextra -c "$source" -o "build/${source%.cpp}.o" &
done
wait
g++ build/*.o -o build/review-standins
