#!/usr/bin/env bash
# Replaces all routers one after the other under load; no stream may be cut.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/.." && pwd)
. "$ROOT/scripts/lib.sh"

use_deployment "${1:-bretagne}"
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM
start_standins
publish_settings
start_fleet

addresses=()
for pair in $ROUTERS; do
    addresses+=(--router "${pair#*=}")
done
lavendershift-bench load "${addresses[@]}" --rate 20 --seconds 45 --tokens 100 \
    --model "$MODEL" --caller "desks/rennes/plume=$(find_key plume)" \
    --caller "desks/quimper/odet=$(find_key odet)" &
LOAD=$!
sleep 3
for pair in $ROUTERS; do
    name=${pair%%=*}
    kill "${PID_OF[$name]}"
    while kill -0 "${PID_OF[$name]}" 2>/dev/null; do sleep 0.1; done
    start "$name" lavendershift-router --config "$DEPLOYMENT/vms/$name.toml"
    wait_ready "http://${pair#*=}/readyz"
    echo "replaced $name"
done
wait "$LOAD"
lavendershift budgets list --log "http://$LOG"
