#!/usr/bin/env bash
# usage: run-case-2.sh NUMBER CLASS
# Plays a case of the second review. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
[ -d review/target/build-2 ] || { echo "run review/build-2.sh first"; exit 2; }
[ -f router/target/ironwind-router.jar ] || { echo "run the build of deploy/balancer.toml first"; exit 2; }
command -v java >/dev/null || { echo "java is missing"; exit 2; }
exec java -Xmx1g -cp review/target/build-2 "rig.$2" "review/$1"
