#!/bin/bash
# Cost of a request at the gateway: instructions (user mode and kernel) and CPU time for each request, requests a
# second, and 99th percentile of latency. Measures the builds and set-ups below in turn, for several rounds.
#   bench/cost.sh OLD NEW STANDIN [ROUNDS] [SECONDS]
# OLD and NEW are forkwick binaries, STANDIN is that of examples/standin.cpp. Both gateways run with the platform's
# configuration, and NEW also with an operators' file with 1 and with 20 pools. Needs wrk, perf and 4 cores.
set -euo pipefail
old=$1 new=$2 standin=$3 rounds=${4:-5} seconds=${5:-4}
work=$(mktemp -d)
pids=()
end() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap end EXIT

hosts=()
names=()
for i in $(seq 0 19); do
  hosts+=("127.0.0.1:$((18500 + i))")
  names+=("h$i" "127.0.0.1:$((18500 + i))")
done
taskset -c 0,2 "$standin" serve "${names[@]}" &
pids+=($!)

python3 - "$work" "${hosts[@]}" <<'P'
import json, sys
work, hosts = sys.argv[1], sys.argv[2:]
cls = lambda n, e: {"name": n, "sloMs": 1000.0, "deadlineMs": 2000.0, "importance": 1.0, "idempotency": e, "lateWorth": 0.0}
json.dump({"seed": "1f", "limits": {"sockets": 1000, "memory_mb": 192},
  "known": {"revision": 1, "complete": True, "members": [
    {"id": f"h{i}", "host_port": h, "locality": "a", "flavor": "m", "cell": 0, "phase": "up", "size": 1.0, "up_since_ms": 0}
    for i, h in enumerate(hosts)]},
  "settings": {"categories": [cls("view", "pure")], "membershipMode": "ask", "zone": "a",
    "limits": {"maxAttempts": 3, "dialTimeoutMs": 200.0, "connIdleMs": 60000.0, "cancelling": True, "retryAfter": True}}},
  open(work + "/platform.json", "w"))
def services(name, pools):
    out = '[process]\ndescriptors = 1000\n[request]\nid_header = "Req-Id"\ndeadline_header = "Req-Deadline"\n' \
          '[[listener]]\nid = "in"\naddress = "127.0.0.1:18480"\n' \
          '[[class]]\nid = "view"\neffect = "safe"\naim = "1s"\ndeadline = "2s"\n'
    for p in range(pools):
        mine = hosts if pools == 1 else [hosts[p]]
        out += f'[[pool]]\nid = "p{p}"\nhost = [' + ", ".join(f'{{ address = "{h}" }}' for h in mine) + ']\n'
        out += f'[[route]]\nprefix = "/api/{p}"\npool = "p{p}"\nclass = "view"\n'
    if pools == 1: out = out.replace('prefix = "/api/0"', 'prefix = "/api"')
    open(f"{work}/{name}.toml", "w").write(out)
services("one", 1)
services("twenty", 20)
P
cat >"$work/ask.lua" <<'L'
local n, mark = 0, tostring({}):sub(8)
function request()
  n = n + 1
  return "GET /api/" .. (n % 20) .. " HTTP/1.1\r\nHost: h\r\nReq-Kind: view\r\nReq-Deadline: 1500m\r\nReq-Id: " .. mark .. n .. "\r\n\r\n"
end
function done(summary, latency, requests)
  io.write(string.format("RESULT %d %.0f %.3f %d\n", summary.requests, summary.requests / (summary.duration / 1e6),
    latency:percentile(99) / 1000, summary.errors.status + summary.errors.read + summary.errors.timeout))
end
L
measure() {  # measure NAME COMMAND...: runs the gateway under load and adds a line to $work/figures
  local name=$1 pid before after
  shift
  NODE_CONFIG=$work/platform.json NODE_LISTEN=127.0.0.1:18480 NODE_DISCOVERY=127.0.0.1:1 taskset -c 1 "$@" 2>/dev/null &
  pid=$!
  for _ in $(seq 100); do (exec 3<>/dev/tcp/127.0.0.1/18480) 2>/dev/null && break; sleep 0.02; done
  taskset -c 3 wrk -t1 -c16 -d1 -s "$work/ask.lua" http://127.0.0.1:18480 >/dev/null  # warm-up
  before=$(awk '{print $14 + $15}' "/proc/$pid/stat")
  perf stat -x, -e instructions:u,instructions:k -o "$work/perf" -p "$pid" &
  local counter=$!
  sleep 0.3
  taskset -c 3 wrk -t1 -c16 -d"$seconds" -s "$work/ask.lua" http://127.0.0.1:18480 >"$work/out"
  kill -INT "$counter"
  wait "$counter" 2>/dev/null || true
  after=$(awk '{print $14 + $15}' "/proc/$pid/stat")
  kill -KILL "$pid"
  wait "$pid" 2>/dev/null || true
  local user kernel
  user=$(awk -F, '/instructions:u/ {print $1}' "$work/perf")
  kernel=$(awk -F, '/instructions:k/ {print $1}' "$work/perf")
  awk -v name="$name" -v cpu="$((after - before))" -v u="$user" -v k="$kernel" \
    '/^RESULT/ {print name, (u + k) / $2, u / $2, cpu * 10000 / $2, $3, $4, $5}' "$work/out" >>"$work/figures"
}
for _ in $(seq "$rounds"); do
  measure old "$old"
  measure new "$new"
  measure one "$new" run --config "$work/one.toml"
  measure twenty "$new" run --config "$work/twenty.toml"
done
echo "set-up   instructions a request: median (least to most), of them own; CPU us; requests/s; p99 ms; errors"
echo "($rounds rounds of $seconds s in turn, 16 connections, 20 hosts; means but for the medians)"
for name in old new one twenty; do
  awk -v n="$name" '$1 == n {print $2, $3, $4, $5, $6, $7}' "$work/figures" | sort -n | awk -v n="$name" '
    {c[NR] = $1; u += $2; t += $3; r += $4; p += $5; e += $6}
    END {printf "%-8s %.0f (%.0f to %.0f), own %.0f; %.1f us; %.0f/s; %.2f ms; %d\n", n, c[int((NR + 1) / 2)], c[1], c[NR],
         u / NR, t / NR, r / NR, p / NR, e}'
done
