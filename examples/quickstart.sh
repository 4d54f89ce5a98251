#!/bin/bash
# Builds forkwick, starts three sample services and the gateway on loopback, sends a request through every route,
# prints the answers, and stops all processes that it started. Needs no privileges once the packages are installed.
set -euo pipefail
cd "$(dirname "$0")/.."
bash tools/packages.sh build

echo "== building"
bin=${FORKWICK_BUILD:-build-example}
cmake -B "$bin" -DCMAKE_BUILD_TYPE=Release -DFORKWICK_EXAMPLES=ON >/dev/null
cmake --build "$bin" -j"$(nproc)" --target forkwick standin >/dev/null
log=$(mktemp)
pids=()
end() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -f "$log"
}
trap end EXIT

echo "== checking the operators' file"
"$bin"/forkwick check examples/quickstart.toml

echo "== starting three services with four hosts, and the gateway"
"$bin"/standin serve basket-1 127.0.0.1:8481 basket-2 127.0.0.1:8482 menu-1 127.0.0.1:8483 slot-1 127.0.0.1:8484 &
pids+=($!)
"$bin"/forkwick run --config examples/quickstart.toml 2>"$log" &
pids+=($!)
for _ in $(seq 100); do
  if "$bin"/standin ask 127.0.0.1:8480 GET any /up 2>/dev/null | grep -q ^200; then break; fi
  sleep 0.05
done

echo "== sending a request through every route"
failed=0
ask() {  # ask PATTERN METHOD HOST PATH [BODY]: fails unless the answer matches the pattern
  local answer
  answer=$("$bin"/standin ask 127.0.0.1:8480 "$2" "$3" "$4" "${5:-}" 2>&1 || true)
  printf '%-6s %-30s %-22s ->  %s\n' "$2" "$3" "$4" "$answer"
  grep -Eq "$1" <<<"$answer" || { echo "  expected: $1"; failed=1; }
}
ask '^200  menu-1 got GET /today'       GET  menus.galicia.example.org    /today
ask '^200  slot-1 got GET /slots/mon'   GET  any.example.org              /slots/mon
ask '^200  slot-1 got POST /slots/mon'  POST any.example.org              /slots/mon  morning
ask '^200  basket-[12] got GET /b/7'    GET  baskets.galicia.example.org  /b/7
ask '^200  basket-[12] got GET /b/8'    GET  mesa.baskets.example.org     /x/../b/8
ask '^200  basket-[12] got POST /pause' POST baskets.galicia.example.org  /pause      week-31
ask '^404'                              GET  nobody.example.org           /
ask '^400'                              GET  any.example.org              /a%2f..%2fslots

echo "== explaining the route of a request"
"$bin"/forkwick route examples/quickstart.toml --host baskets.galicia.example.org --path /pause --method POST

if [ "$failed" -ne 0 ]; then
  echo "the gateway's log:"
  cat "$log"
  exit 1
fi
echo "== done"
