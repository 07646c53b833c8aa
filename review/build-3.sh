#!/usr/bin/env bash
# Builds the stand-ins of the cases from 11 on into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/rig-3"
out=../../target/review-3
mkdir -p "$out"
for case in case-*.cc; do
	g++ -std=c++17 -O1 -g -Wall -Wextra -o "$out/$(basename "$case" .cc)" "$case" cases.cc rig.cc \
		minions.cc -ljansson -pthread
done
