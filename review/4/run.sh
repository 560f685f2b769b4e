#!/usr/bin/env bash
# CONFIG: see claim.txt. Needs the build of the deploy file and review/build-2.sh.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
standin=review/standin-2/target/release/standin-2
[[ -x $standin && -x target/release/wigeonbarrow-platform ]] || exit 2
folder=$(mktemp -d) || exit 2
clean() {
  # Only what this script started, by the ids that it noted.
  if [[ -n ${case:-} ]]; then
    # `timeout` passes this on to the stand-in; killed itself, it would leave the stand-in running.
    kill -TERM "$case" 2>/dev/null
    wait "$case" 2>/dev/null
  fi
  if [[ -e $folder/pids ]]; then
    while read -r pid; do
      if grep -qs wigeonbarrow-platform "/proc/$pid/cmdline"; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done <"$folder/pids"
  fi
  rm -rf "$folder"
}
trap clean EXIT
trap 'exit 2' INT TERM HUP
timeout -k 5 110 "$standin" core "$folder" "$here/record.txt" &
case=$!
wait "$case"
code=$?
case=
[[ $code -le 2 ]] || code=2
exit "$code"
