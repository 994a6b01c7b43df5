#!/usr/bin/env bash
# Compares an engine directly, a bare pass-through and a router, in one run.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/.." && pwd)
. "$ROOT/scripts/lib.sh"

use_deployment bretagne
trap stop_all EXIT
ENGINE_ARGS="--set step_ms=5.0 --set min_output_tokens=50"
start_standins
publish_settings
lavendershift publish --log "http://$LOG" "$ROOT/scripts/bench-limits.toml"
start_fleet

for pair in $ENGINES; do
    ENGINE=${pair#*=}
    break
done
start passthrough python -m lavendershift_standins.passthrough \
    --target "$ENGINE" --port 7199
until curl -s -m 1 -o /dev/null "http://127.0.0.1:7199/"; do sleep 0.1; done

for concurrency in 1 16; do
    lavendershift-bench proxy --concurrency "$concurrency" --requests "$((concurrency * ${REQUESTS:-20}))" \
        --tokens "${TOKENS:-50}" --rounds 3 --model "$MODEL" \
        --key "$(find_key plume)" \
        --target "direct=$ENGINE" \
        --target "passthrough=127.0.0.1:7199,${PID_OF[passthrough]}" \
        --target "router=$(find_router r1),${PID_OF[r1]}"
done
