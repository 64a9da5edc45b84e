#!/usr/bin/env bash
# Runs the standard days of the sites in deploy/regression_sites and compares the worth of each day with the
# last committed score of the site. Fails if the score run does not pass its gate; marks each worth that fell
# by more than NOISE. Usage: tools/regression.sh BENCH DIRECTORY_OF_SITES [SITE...]
set -euo pipefail

if [ $# -lt 2 ]; then
  sed -n '2,4p' "$0" >&2
  exit 2
fi
bench=$(realpath "$1")
directory=$(realpath "$2")
shift 2
cd "$(dirname "$0")/.."

noise=${NOISE:-0.03} # In units of worth; repeated runs of the same code differ by up to this much.
if [ $# -gt 0 ]; then sites=("$@"); else mapfile -t sites < deploy/regression_sites; fi

# Prints "day worth" for each standard day of a journal entry.
extract_day_worths() { grep -o '"G": [0-9.-]*, "name": "[a-z]*-[0-9]"' "$1" | sed 's/"G": \(.*\), "name": "\(.*\)"/\2 \1/' | sort; }

# Prints the path of the newest committed journal entry with a full, non-trial score of a site.
find_last_score_entry() {
  git ls-files 'journal/*.json' | sort -r | xargs grep -l "\"cmd\": \"score\".*\"site\": \"$1\"" |
    xargs grep -LE '"argv": \[[^]]*--(no-cpu|quick|small)|"why": "trial' | head -n 1
}

failed=0
for site in "${sites[@]}"; do
  name=$(basename "$site" .toml)
  previous_entry=$(find_last_score_entry "$name")
  output=$("$bench" score "$directory/$site" --why "regression run") || true
  new_entry=$(ls journal/*.json | sort | tail -n 1)
  echo "== $name, before: ${previous_entry:-none}"
  grep -E '^GATE|^score on|BROKEN' <<< "$output" || true
  grep -q '^GATE passed' <<< "$output" || failed=1
  [ -n "$previous_entry" ] || continue
  join <(extract_day_worths "$previous_entry") <(extract_day_worths "$new_entry") |
    awk -v noise="$noise" '{ printf "%-10s %.3f -> %.3f%s\n", $1, $2, $3, $3 < $2 - noise ? "  lower" : "" }'
done
exit $failed
