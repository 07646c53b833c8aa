#!/usr/bin/env bash
# Builds the programs of the scripts in this folder into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++17 -O1 -g -Wall -Wextra -pthread -c review/stand/stand.cc -o target/review/stand.o
for source in review/[1-9]/case.cc; do
	number=$(basename "$(dirname "$source")")
	g++ -std=c++17 -O1 -g -Wall -Wextra -pthread "$source" target/review/stand.o -ljansson \
		-o "target/review/case-$number"
done
