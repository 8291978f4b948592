#!/usr/bin/env bash
# Compiles the stand-ins and the cases. They need nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
javac -nowarn -d out src/review/*.java
