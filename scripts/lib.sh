# Functions that the other scripts share. Every process started is remembered by
# its pid, and only those are ended.

PIDS=()
declare -A PID_OF

# Starts a program in the background: start NAME COMMAND...
start() {
    local name=$1
    shift
    "$@" >"$RUN_DIR/$name.out" 2>"$RUN_DIR/$name.err" &
    PIDS+=($!)
    PID_OF[$name]=$!
}

# Ends everything started here and waits for it.
stop_all() {
    trap - EXIT INT TERM
    local pid
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    local deadline=$((SECONDS + 5))
    for pid in "${PIDS[@]}"; do
        while kill -0 "$pid" 2>/dev/null && [ $SECONDS -lt $deadline ]; do
            sleep 0.1
        done
        kill -9 "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
}

# Waits up to 20 s until a URL answers 200.
wait_ready() {
    local url=$1 deadline=$((SECONDS + 20))
    until curl -sf -m 1 -o /dev/null "$url"; do
        if [ $SECONDS -ge $deadline ]; then
            echo "no answer from $url" >&2
            return 1
        fi
        sleep 0.1
    done
}

# Reads the deployment's addresses: use_deployment NAME
use_deployment() {
    DEPLOYMENT="$ROOT/deployments/$1"
    if [ ! -d "$DEPLOYMENT" ]; then
        echo "no deployment $1 in $ROOT/deployments" >&2
        exit 2
    fi
    # shellcheck source=/dev/null
    . "$DEPLOYMENT/addresses.env"
    RUN_DIR="$ROOT/run/$1"
    mkdir -p "$RUN_DIR"
}

# Starts a stand-in: start_standin PROGRAM NAME IP:PORT
start_standin() {
    start "$2" "standin-$1" --config "$DEPLOYMENT/standins/$1.toml" \
        --name "$2" --address "${3%:*}" --port "${3##*:}" "${@:4}"
}

# Fails where something already listens on one of the deployment's addresses.
check_free() {
    local pair address
    for pair in "log=$LOG" "members=$MEMBERS" $ENGINES $SERVICES $ROUTERS; do
        address=${pair#*=}
        if (: <>"/dev/tcp/${address%:*}/${address##*:}") 2>/dev/null; then
            echo "$address is in use; does the deployment run already?" >&2
            return 1
        fi
    done
}

start_standins() {
    local pair
    check_free
    start_standin log log "$LOG"
    start members standin-members --config "$DEPLOYMENT/standins/members.toml" \
        --set "file = \"$DEPLOYMENT/members.json\"" \
        --address "${MEMBERS%:*}" --port "${MEMBERS##*:}"
    for pair in $ENGINES; do
        # shellcheck disable=SC2086
        start_standin engine "${pair%%=*}" "${pair#*=}" ${ENGINE_ARGS:-}
    done
    for pair in $SERVICES; do
        start_standin service "${pair%%=*}" "${pair#*=}"
    done
    wait_ready "http://$LOG/control/faults"
    wait_ready "http://$MEMBERS/control/faults"
    for pair in $ENGINES $SERVICES; do
        wait_ready "http://${pair#*=}/control/faults"
    done
}

publish_settings() {
    lavendershift publish --log "http://$LOG" "$DEPLOYMENT/tree.toml"
    lavendershift budgets top-up --log "http://$LOG" --file "$DEPLOYMENT/budgets.toml"
}

start_fleet() {
    local pair name
    for pair in $ROUTERS; do
        name=${pair%%=*}
        start "$name-relay" lavendershift-relay \
            --config "$DEPLOYMENT/vms/$name-relay.toml"
    done
    for pair in $ROUTERS; do
        name=${pair%%=*}
        start "$name" lavendershift-router --config "$DEPLOYMENT/vms/$name.toml"
    done
    for pair in $ROUTERS; do
        wait_ready "http://${pair#*=}/readyz"
    done
}

# Prints the address of a router: find_router r1
find_router() {
    local pair
    for pair in $ROUTERS; do
        if [ "${pair%%=*}" = "$1" ]; then
            echo "${pair#*=}"
        fi
    done
}

# Prints a caller's API key: find_key plume
find_key() {
    sed -n "s/^$1 = \"\(.*\)\"$/\1/p" "$DEPLOYMENT/keys.toml"
}
