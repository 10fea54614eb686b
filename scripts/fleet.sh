# Starts the sample fleet: one store, four daemons in two regions, eight servers in two services.
# Sourced after lib.sh.

PLACES=("meseta paraiso" "meseta barva" "guanacaste canas" "guanacaste santa-cruz")

# start_daemon NUMBER [ARGS...]: starts daemon d1 to d4.
start_daemon() {
    local n=$1
    shift
    read -r region dc <<<"${PLACES[$((n - 1))]}"
    start "d$n" pomelod --store "$(addr store listen)" --region "$region" --data-centre "$dc" "$@"
}

# start_server SERVICE NUMBER: starts a server beside one of the four daemons.
start_server() {
    local service=$1 n=$2 flags=()
    read -r region dc <<<"${PLACES[$(((n - 1) % 4))]}"
    for d in 0 1 2 3; do
        flags+=(--daemon "$(addr "d$(((n - 1 + d) % 4 + 1))" api)")
    done
    if [ -n "${LEDGERS:-}" ]; then
        flags+=(--ledger "$RUN_DIR/$service-$n.ledger")
    fi
    start "$service-$n" pomelo-server --id "$service-$n" --service "$service" --region "$region" \
        --data-centre "$dc" "${flags[@]}"
}

# start_fleet [--ledgers]: starts everything and applies the sample configuration. With --ledgers, servers
# list the orders that ran in $RUN_DIR/SERVICE-NUMBER.ledger.
start_fleet() {
    [ "${1:-}" != --ledgers ] || LEDGERS=yes
    start store pomelo-store
    for n in 1 2 3 4; do
        start_daemon "$n"
    done
    for n in 1 2 3 4; do
        start_server sacristia "$n"
        start_server bodega-docs "$n"
    done
    export POMELOCTL_API=$(addr d1 api)
    "$BIN/pomeloctl" apply scripts/sample.toml >/dev/null
}

# give_key CUSTOMER NAME: prints the secret of a new key.
give_key() {
    "$BIN/pomeloctl" --json keys give "$1" "$2" | sed -n 's/.*"secret": "\([^"]*\)".*/\1/p'
}

# restart_daemon NUMBER SIGNAL: ends a daemon, waits for its exit and starts it on the same addresses.
restart_daemon() {
    local n=$1 listen api peer
    listen=$(addr "d$n" listen) api=$(addr "d$n" api) peer=$(addr "d$n" peer)
    kill "-$2" "$(pid "d$n")"
    tail --pid="$(pid "d$n")" -f /dev/null
    start_daemon "$n" --listen "$listen" --api "$api" --peer-listen "$peer"
}
