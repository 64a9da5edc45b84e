#!/usr/bin/env bash
# Installs the Debian packages that the build, the linter and the tests need.
set -euo pipefail

packages=(
  clang clang-format clang-tidy cmake ninja-build ccache curl doxygen g++ git
  libboost-coroutine-dev libboost-dev libboost-log-dev libboost-system-dev libboost-thread-dev libwebsocketpp-dev
  libcli11-dev catch2 nlohmann-json3-dev libvalijson-dev libxxhash-dev libzstd-dev
)

missing=()
for package in "${packages[@]}"; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ ${#missing[@]} -eq 0 ] && exit 0

sudo_command=()
[ "$(id -u)" -eq 0 ] || sudo_command=(sudo)
"${sudo_command[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${sudo_command[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
