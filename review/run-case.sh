#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 if the
# case could not run. TROUBLE=0 leaves out the disruption.
set -u
here="$(cd "$1" && pwd)"
root="$(cd "$(dirname "$0")/.." && pwd)"
record="$here/record.txt"
rm -f "$record"
if ! test -f "$root/router/target/ironwind-router.jar"; then
  echo "could not run: build the router first, with the line build of deploy/balancer.toml"
  exit 2
fi
if ! test -f "$root/review/out/review/$2.class"; then
  "$root/review/build.sh" || exit 2
fi
tmp="$(mktemp -d)" || exit 2
timeout -k 3 116 java -Xmx1g -Dreview.root="$root" -Dreview.tmp="$tmp" -Dreview.record="$record" \
  -cp "$root/review/out" "review.$2" &
pid=$!
trap 'kill "$pid" 2>/dev/null' INT TERM
wait "$pid"
code=$?
# The case ends its router itself. Should it have been killed before that, its router is ended here.
if test -f "$tmp/router.pid" && grep -qs "$tmp" "/proc/$(cat "$tmp/router.pid")/environ"; then
  kill -9 "$(cat "$tmp/router.pid")" 2>/dev/null
fi
if test -f "$tmp/router.log"; then
  { echo "the router's log:"; cut -c1-300 "$tmp/router.log" | grep -v ' client_malformed ' | tail -40; } >> "$record"
fi
rm -rf "$tmp"
case $code in
  0) grep -q 'RESULT the rule held' "$record" || code=2 ;;
  1) grep -q 'RESULT the rule was broken' "$record" || code=2 ;;
  *) code=2 ;;
esac
exit $code
