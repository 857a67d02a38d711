#!/usr/bin/env bash
# Installs what the build needs on Debian 12; does nothing when all is there.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy curl python3
    qt6-base-dev qt6-httpserver-dev qt6-websockets-dev libjsonrpccpp-dev
    prometheus-cpp-dev liblog4cplus-dev libboost1.81-dev doctest-dev
    libcurl4-openssl-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null |
        grep -q 'install ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    echo "Installing: ${missing[*]}"
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive \
        apt-get install -y -qq --no-install-recommends "${missing[@]}"
fi
