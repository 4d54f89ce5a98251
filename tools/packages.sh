#!/bin/bash
# Installs the Debian packages that are needed and missing. Usage: packages.sh build|tests; "tests" includes those for
# the build.
set -euo pipefail
packages="g++ make cmake libboost-dev nlohmann-json3-dev libtomlplusplus-dev libcli11-dev"
if [ "${1:-build}" = tests ]; then
  packages="$packages libgtest-dev clang-format libgrpc++-dev protobuf-compiler-grpc libprotobuf-dev protobuf-compiler"
  packages="$packages libssl-dev pkg-config clang-tidy"
fi
# shellcheck disable=SC2086
if dpkg -s $packages >/dev/null 2>&1; then exit 0; fi
as_root=""
if [ "$(id -u)" -ne 0 ]; then as_root=sudo; fi
$as_root apt-get update -qq
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $as_root apt-get install -y -qq --no-install-recommends $packages >/dev/null
