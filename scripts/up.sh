#!/usr/bin/env bash
# Runs a deployment on loopback addresses until Ctrl-C: up.sh [bretagne|gauteng]
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

echo "Log service:     $LOG"
echo "Membership list: $MEMBERS"
echo "Model engines:  " $ENGINES
echo "Plain services: " $SERVICES
echo "Routers:        " $ROUTERS
echo "API keys:        $DEPLOYMENT/keys.toml"
echo "Output:          $RUN_DIR"
echo "Ctrl-C ends it."
while sleep 1; do
    for name in "${!PID_OF[@]}"; do
        if ! kill -0 "${PID_OF[$name]}" 2>/dev/null; then
            echo "$name ended, see $RUN_DIR/$name.err" >&2
            unset "PID_OF[$name]"
        fi
    done
done
