# Helpers for the scripts: builds programs, starts them, keeps their ids, ends only those.
# Sourced; expects the working directory to be the root of the repository.

PIDS=()
RUN_DIR=$(mktemp -d)
export POMELO_FLEET_SECRET=${POMELO_FLEET_SECRET:-demo-secret-of-the-local-fleet}
PROFILE=${PROFILE:-debug}
BIN=${CARGO_TARGET_DIR:-target}/$PROFILE

# Builds all programs in the chosen profile.
build() {
    if [ "$PROFILE" = release ]; then
        cargo build --quiet --workspace --bins --release
    else
        cargo build --quiet --workspace --bins
    fi
}

# start NAME PROGRAM ARGS...: starts a program and waits for its line `ready key=value...`.
start() {
    local name=$1 program=$2
    shift 2
    "$BIN/$program" "$@" >"$RUN_DIR/$name.out" 2>"$RUN_DIR/$name.err" &
    PIDS+=($!)
    echo $! >"$RUN_DIR/$name.pid"
    for _ in $(seq 200); do
        grep -q '^ready ' "$RUN_DIR/$name.out" && return 0
        sleep 0.05
    done
    echo "$name did not start: $(cat "$RUN_DIR/$name.err")" >&2
    return 1
}

# addr NAME KEY: address from the program's ready line, e.g. `addr d1 listen`.
addr() {
    sed -n "s/^ready .*\\b$2=\\([^ ]*\\).*/\\1/p" "$RUN_DIR/$1.out"
}

# pid NAME: process id of a started program.
pid() {
    cat "$RUN_DIR/$1.pid"
}

# Ends what was started here.
finish() {
    for pid in "${PIDS[@]}"; do
        kill "$pid" 2>/dev/null || true
    done
    wait 2>/dev/null || true
    rm -rf "$RUN_DIR"
}
trap finish EXIT
