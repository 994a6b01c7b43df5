#!/usr/bin/env bash
# Runs Bretagne, kills a router in the middle and shows that the bills are right.
set -euo pipefail
ROOT=$(cd "$(dirname "$0")/.." && pwd)
. "$ROOT/scripts/lib.sh"

use_deployment bretagne
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

CATALOGUE_PRICE=2 # tokens, as in tree.toml
APPROVAL_PRICE=20
FIRST=$(find_router r1)
SECOND=$(find_router r4)

# Sends a completion: complete ROUTER CALLER IDEMPOTENCY_KEY MAX_TOKENS PROMPT
complete() {
    curl -sS -m 30 -o "$RUN_DIR/answer" -w '%{http_code}\n' \
        -H "Authorization: Bearer $(find_key "$2")" -H "Idempotency-Key: $3" \
        -H 'Content-Type: application/json' \
        -d "{\"model\": \"$MODEL\", \"max_tokens\": $4, \"prompt\": \"$5\"}" \
        "http://$1/v1/completions"
}

# Calls a plain service: call_service ROUTER CALLER IDEMPOTENCY_KEY METHOD PATH
call_service() {
    local body=()
    if [ "$4" = POST ]; then
        body=(-H 'Content-Type: application/json' -d '{"index": "Le Trieux"}')
    fi
    curl -sS -m 30 -o "$RUN_DIR/answer" -w '%{http_code}\n' -X "$4" \
        -H "Authorization: Bearer $(find_key "$2")" -H "Idempotency-Key: $3" \
        "${body[@]}" "http://$1/services/$5"
}

# Prints the tokens that the last completion's answer says it used.
read_usage() {
    grep -o '"total_tokens": *[0-9]*' "$RUN_DIR/answer" | grep -o '[0-9]*$'
}

# Prints what a budget was billed.
read_bill() {
    lavendershift budgets list --log "http://$LOG" --json "$1" |
        python3 -c 'import json, sys; print(json.load(sys.stdin)[0]["billed"])'
}

expect() {
    if [ "$2" != "$3" ]; then
        echo "FAILED: $1: expected $2, got $3: $(head -c 500 "$RUN_DIR/answer")" >&2
        exit 1
    fi
    echo "ok: $1 ($3)"
}

# Counts the executions of a key, which the router scopes, on all plain services.
count_executions() {
    local pair
    for pair in $SERVICES; do
        curl -sS "http://${pair#*=}/control/log"
    done | grep -oE "\"idempotency_key\":\"([^\"]*/)?$1\",\"method\"" | wc -l
}

echo "== Start"
start_standins
publish_settings
start_fleet

echo "== A mix of requests"
for customer in plume odet recouvrance iroise; do
    status=$(complete "$FIRST" "$customer" "demo-$customer" 40 "Index: $customer")
    expect "completion for $customer" 200 "$status"
    if [ "$customer" = plume ]; then
        bill=$(read_usage)
    fi
done
status=$(call_service "$FIRST" plume catalogue-1 GET catalogue/titles/7)
expect "catalogue lookup" 200 "$status"

echo "== A refusal: kerlouan has 3,000 tokens and asks for more"
status=$(complete "$FIRST" kerlouan demo-large 1024 "$(printf 'Locronan %.0s' {1..600})")
expect "budget exhausted" 402 "$status"
grep -q '"ran": *"no"' "$RUN_DIR/answer"

echo "== A proof approval, which may not be repeated"
status=$(call_service "$FIRST" plume approval-1 POST approvals/proofs/12)
expect "approval" 200 "$status"
cp "$RUN_DIR/answer" "$RUN_DIR/first-answer"

echo "== Router r1 is killed with a stream open"
complete "$FIRST" plume demo-cut 1024 "A long manuscript" >/dev/null 2>&1 &
CUT=$!
sleep 0.5
disown "${PID_OF[r1]}"
kill -9 "${PID_OF[r1]}"
wait "$CUT" || echo "ok: the caller's connection broke"

echo "== The same calls at another router"
status=$(call_service "$SECOND" plume approval-1 POST approvals/proofs/12)
expect "approval repeated" 200 "$status"
cmp "$RUN_DIR/answer" "$RUN_DIR/first-answer"
expect "executions of the approval" 1 "$(count_executions approval-1)"
status=$(complete "$SECOND" plume demo-cut 1024 "A long manuscript")
expect "completion repeated" 200 "$status"
bill=$((bill + $(read_usage) + CATALOGUE_PRICE + APPROVAL_PRICE))

echo "== Spend per customer"
sleep 1 # charges reach the log in batches
expect "plume is billed each request once" "$bill" "$(read_bill plume)"
lavendershift budgets list --log "http://$LOG"
echo "== Done"
