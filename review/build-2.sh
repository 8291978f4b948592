#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 with the JDK alone; needs no network and no other build.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target/build-2
mkdir -p target/build-2
javac --release 17 -d target/build-2 src-2/rig/*.java
