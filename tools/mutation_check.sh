#!/usr/bin/env bash
# Mutation test of the safety mechanisms: disables one mechanism at a time in a scratch copy and expects a
# test suite to fail. Mutations of the core run the scenarios, the random schedules, the fleets whose servers give
# advice or end and the unit tests; mutations of the daemon and the adapter run their tests tagged [field-reports],
# [drain], [restored] or [refusal]. Arguments: names of mutations (default: all of tests/mutations/mutations.txt).
set -euo pipefail
cd "$(dirname "$0")/.."

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$scratch"
cd "$scratch"
# Warnings are off because a mutation can leave a variable unused, which -Werror would reject.
cmake -S . -B build -G Ninja -DCMAKE_CXX_FLAGS=-w > /dev/null
core_targets=(cornelpier-scenario-tests cornelpier-schedule-tests cornelpier-server-advice-tests
  cornelpier-server-crash-tests cornelpier-tests)
daemon_targets=(cornelpier-daemon-tests cornelpier-broken-response-tests cornelpier-platform-tests
  cornelpier-fleet-source-tests)

trim() { sed -E 's/^ +//; s/ +$//' <<< "$1"; }

replace_once() { # FILE OLD NEW
  OLD=$2 NEW=$3 perl -0pi -e '$found = s/\Q$ENV{OLD}\E/$ENV{NEW}/; END { exit($found ? 0 : 1) }' "$1"
}

undetected=0
while IFS='~' read -r name point file old new; do
  name=$(trim "$name")
  [ $# -eq 0 ] || [[ " $* " == *" $name "* ]] || continue
  file=$(trim "$file")
  cp "$file" original
  if ! replace_once "$file" "$(trim "$old")" "$(trim "$new")"; then
    echo "$name: text to replace not found in $file"
    undetected=$((undetected + 1))
    continue
  fi

  targets=("${core_targets[@]}")
  [[ $file = src/cornelpier/* ]] || targets=("${daemon_targets[@]}")
  cmake --build build --target "${targets[@]}" > build.log 2>&1 || { cat build.log; exit 1; }
  failed_suites=()
  for target in "${targets[@]}"; do
    filter=()
    [ "$target" = cornelpier-tests ] && filter=('~[fleet]')
    [[ " ${daemon_targets[*]} " != *" $target "* ]] || filter=('[field-reports],[drain],[restored],[refusal]')
    timeout 120 prlimit --as=4000000000 "build/tests/$target" "${filter[@]}" > "$target.log" 2>&1 || failed_suites+=("${target#cornelpier-}")
  done
  echo "$name ($point): ${failed_suites[*]:-NOT NOTICED}"
  [ ${#failed_suites[@]} -gt 0 ] || undetected=$((undetected + 1))
  cp original "$file"
done < <(grep -v '^#' tests/mutations/mutations.txt | sed 's/ | /~/g')

echo "mutations not noticed: $undetected"
[ "$undetected" -eq 0 ]
