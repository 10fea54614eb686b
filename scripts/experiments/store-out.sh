# The store is gone for the run, and a daemon joins meanwhile.
# Bounds: callers' success share does not fall, the joining daemon has the configuration in force within 5 s.

start_fleet
key=$(give_key tienda-cartago store-out)
sleep 3

# share NAME DAEMONS...: prints the share of good answers.
share() {
    local name=$1 targets=() d
    shift
    for d in "$@"; do
        targets+=(--target "$(addr "$d" listen)")
    done
    "$BIN/pomelo-load" "${targets[@]}" --path /tienda-cartago/stock --key "$key" --rate 120 --seconds 8 \
        >"$RUN_DIR/load-$name"
    sed "s/^/$name./" "$RUN_DIR/load-$name" | grep -E '(requests|good_share|answer\.[^=]*|p99_us)=' | tr '\n' ' '
    echo
}

version_of() { curl -s "http://$(addr "$1" api)/v1/status" | sed -n 's/.*"version":\([0-9]*\)}*$/\1/p'; }

share before d1 d2 d3 d4
curl -sf -X PUT --data '{"down":true}' "http://$(addr store listen)/faults" >/dev/null
sleep 5
share during d1 d2 d3 d4
wanted=$(version_of d1)
read -r region dc <<<"${PLACES[0]}"
joined=$EPOCHREALTIME
start d5 pomelod --api 127.0.0.1:0 --store "$(addr store listen)" --region "$region" --data-centre "$dc" \
    --peer "$(addr d1 peer)" --peer "$(addr d3 peer)"
for _ in $(seq 100); do
    [ "$(version_of d5)" = "$wanted" ] && break
    sleep 0.05
done
join_ms=$(((${EPOCHREALTIME/./} - ${joined/./}) / 1000))
echo "join_ms=$join_ms join_version=$(version_of d5) wanted=$wanted"
sleep 4
share joined d5
# kept NAME: whether the success share of a run is not below that before the outage by more than 1 in 1,000.
kept() {
    awk -v now="$(sed -n 's/^good_share=//p' "$RUN_DIR/load-$1")" \
        -v before="$(sed -n 's/^good_share=//p' "$RUN_DIR/load-before")" 'BEGIN { exit !(now >= before - 0.001) }'
}
[ "$(version_of d5)" = "$wanted" ] && [ "$join_ms" -le 5000 ] && kept during && kept joined
