#!/bin/bash
# Runs all checks of the project: the format, the list of decision files, the build of
# deploy/balancer.toml, the tests in a Release build and under the sanitizers, clang-tidy, the
# quickstart, the consumer example against an installed copy, and the simulator adapter as a process.
# Can be run from any directory; the builds stay in build*/.
set -euo pipefail
cd "$(dirname "$0")/.."

setting() { sed -n "s/^$1 = \"\(.*\)\".*/\1/p" deploy/balancer.toml; }
policy=$(sed -n 's/^policy = \[\(.*\)\].*/\1/p' deploy/balancer.toml | tr -d '",')
# The tests of KNOWN-RED.txt, as one regular expression that matches nothing else.
known_red=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|')
known_red="^(${known_red:-none})(/[0-9]+)?\$"
step() { printf '\n== %s\n' "$*"; }

run_tests() { ctest --test-dir "$1" --output-on-failure -j"$(nproc)" -E "$known_red"; }

bash tools/packages.sh tests

step "known failures, passed over (KNOWN-RED.txt)"
sed -n 's/^test: //p' KNOWN-RED.txt

step "format and decision files"
find src include tests examples bench -name '*.?pp' -print0 | xargs -0 clang-format --dry-run -Werror
# shellcheck disable=SC2086
if grep -nE '^.{111,}' $policy; then echo "the module: lines of more than 110 characters"; exit 1; fi
for file in src/module/*; do  # only plain data and the check of settings hold no decisions
  case " $policy src/module/state.hpp src/module/settings.cpp " in *" $file "*) ;; *)
    echo "$file is not named by policy in deploy/balancer.toml"; exit 1 ;;
  esac
done

step "build by deploy/balancer.toml"
bash -c "$(setting build)"

step "tests, Release"
cmake -B build-tests -DCMAKE_BUILD_TYPE=Release -DOPALSWITCH_TESTS=ON -DFORKWICK_EXAMPLES=ON -DFORKWICK_XDS=ON \
  -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
cmake --build build-tests -j"$(nproc)"
run_tests build-tests

step "clang-tidy"
find src tests -name '*.cpp' -print0 | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p build-tests --quiet

step "tests, address and undefined-behaviour sanitizers"
cmake -B build-sanitize -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O0 -DOPALSWITCH_TESTS=ON -DFORKWICK_XDS=ON \
  -DOPALSWITCH_SANITIZE=ON >/dev/null
cmake --build build-sanitize -j"$(nproc)"
run_tests build-sanitize

step "quickstart"
FORKWICK_BUILD=build-tests bash examples/quickstart.sh

step "consumer example against an installed copy"
prefix=$(mktemp -d)
trap 'rm -rf "$prefix"' EXIT
cmake --install build --prefix "$prefix/root" >/dev/null
cmake -S examples/consumer -B "$prefix/consumer" -DCMAKE_PREFIX_PATH="$prefix/root" >/dev/null
cmake --build "$prefix/consumer"
test "$("$prefix/consumer/consumer" | tail -1)" = served

step "adapter by deploy/balancer.toml"
bash tests/adapter.sh "$(setting sim)"

step "all checks passed"
