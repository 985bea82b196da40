#!/usr/bin/env bash
# Installs the packages that the build, the tests and the demo need. Does nothing if all are installed.
set -euo pipefail
packages=(g++ cmake ninja-build pkg-config gcc spin clang-format clang-tidy python3
    libcivetweb-dev libjsonrpccpp-dev libjsoncpp-dev libboost1.81-dev libcxxopts-dev liblog4cxx-dev doctest-dev
    librapidcheck-dev libxxhash-dev libsodium-dev libzstd-dev libcbor-dev libcurl4-openssl-dev)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    echo "Installing: ${missing[*]}"
    export DEBIAN_FRONTEND=noninteractive
    apt-get update -qq
    apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
