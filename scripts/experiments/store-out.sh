# The store is gone for the run, and a daemon joins meanwhile.
# Bounds: callers' success share does not fall, the joining daemon has the configuration in force within 5 s.

start_fleet
key=$(give_key parroquia-orosi store-out)
sleep 3

# share NAME DAEMONS...: prints the share of good answers.
share() {
    local name=$1 targets=() d
    shift
    for d in "$@"; do
        targets+=(--target "$(addr "$d" listen)")
    done
    "$BIN/pomelo-load" "${targets[@]}" --path /parroquia-orosi/stock --key "$key" --rate 120 --seconds 8 \
        >"$RUN_DIR/load-$name"
    local sent ok
    sent=$(sed -n 's/^sent=//p' "$RUN_DIR/load-$name")
    ok=$(sed -n 's/^ok=//p' "$RUN_DIR/load-$name")
    echo "$name.sent=$sent $name.ok=$ok"
}

version_of() { curl -s "http://$(addr "$1" api)/v1/status" | sed -n 's/.*"version":\([0-9]*\)}*$/\1/p'; }

share before d1 d2 d3 d4 | tee "$RUN_DIR/before"
curl -sf -X PUT --data '{"down":true}' "http://$(addr store listen)/faults" >/dev/null
sleep 5
share during d1 d2 d3 d4 | tee "$RUN_DIR/during"
wanted=$(version_of d1)
read -r region dc <<<"${PLACES[0]}"
joined=$EPOCHREALTIME
start d5 pomelod --store "$(addr store listen)" --region "$region" --data-centre "$dc" \
    --peer "$(addr d1 peer)" --peer "$(addr d3 peer)"
for _ in $(seq 100); do
    [ "$(version_of d5)" = "$wanted" ] && break
    sleep 0.05
done
join_ms=$(((${EPOCHREALTIME/./} - ${joined/./}) / 1000))
echo "join_ms=$join_ms join_version=$(version_of d5) wanted=$wanted"
sleep 4
share joined d5 | tee "$RUN_DIR/joined"
ok_share() { sed 's/.*sent=\([0-9]*\) .*ok=\([0-9]*\)/\1 \2/' "$1" | awk '{ printf "%d", $2 * 10000 / $1 }'; }
echo "before_share=$(ok_share "$RUN_DIR/before") during_share=$(ok_share "$RUN_DIR/during") joined_share=$(ok_share "$RUN_DIR/joined") (of 10000)"
[ "$(version_of d5)" = "$wanted" ] && [ "$join_ms" -le 5000 ] &&
    [ "$(ok_share "$RUN_DIR/during")" -ge "$(ok_share "$RUN_DIR/before")" ] &&
    [ "$(ok_share "$RUN_DIR/joined")" -ge "$(ok_share "$RUN_DIR/before")" ]
