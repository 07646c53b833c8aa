#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.  The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
flags=(-std=gnu11 -O2 -Wall -Wextra -Ireview/rig-2)
cc "${flags[@]}" -o target/review-2/worker review/rig-2/worker.c review/rig-2/http.c -ljansson -lpthread
cc "${flags[@]}" -o target/review-2/call review/rig-2/call.c review/rig-2/http.c -lpthread
