# 200 changes under load: plain ones, two operators at once, lost answers, a slow store.
# Bounds: in force within 5 s of acceptance, no version falls, every accepted change stands in the
# history once and no refused one does.

faults() { curl -sf -X PUT --data "$1" "http://$(addr store listen)/faults" >/dev/null; }

# variant RATE: prints the sample configuration with this rate of tienda-cartago.
variant() { sed "s/^rate = 800\$/rate = $1/" scripts/sample.toml >"$RUN_DIR/variant-$1.toml"; }

# change DAEMON RATE: applies a variant and appends the answer as one line.
change() {
    variant "$2"
    "$BIN/pomeloctl" --api "$(addr "$1" api)" --json apply "$RUN_DIR/variant-$2.toml" \
        >"$RUN_DIR/answer-$2" 2>&1 || true
    printf '%s\n' "$(tr -d '\n' <"$RUN_DIR/answer-$2")" >>"$RUN_DIR/answers"
}

# watch DAEMON: counts how often the daemon's version falls.
watch() {
    local last=0 falls=0 now
    while [ ! -e "$RUN_DIR/stop" ]; do
        now=$(curl -s "http://$(addr "$1" api)/v1/status" | sed -n 's/.*"stopping":[a-z]*,"store_down":[a-z]*,"version":\([0-9]*\).*/\1/p')
        if [ "${now:-$last}" -lt "$last" ]; then falls=$((falls + 1)); fi
        last=${now:-$last}
        sleep 0.02
    done
    echo "$falls $last" >"$RUN_DIR/watch-$1"
}

start_fleet
key=$(give_key parroquia-orosi config-1)
sleep 2
"$BIN/pomelo-load" --target "$(addr d1 listen)" --target "$(addr d4 listen)" \
    --path /parroquia-orosi/stock --key "$key" --rate 150 --seconds 30 >"$RUN_DIR/load" &
load=$!
watchers=()
for d in d1 d2 d3 d4; do
    watch "$d" &
    watchers+=($!)
done
writes_before=$(curl -s "http://$(addr store listen)/calls")
n=1000
for _ in $(seq 100); do
    n=$((n + 1))
    change "d$((n % 4 + 1))" "$n"
done
for _ in $(seq 20); do
    change d1 $((n + 1)) &
    one=$!
    change d3 $((n + 2)) &
    wait "$one" $!
    n=$((n + 2))
done
faults '{"lost_answers":0.4}'
for _ in $(seq 40); do
    n=$((n + 1))
    change "d$((n % 4 + 1))" "$n"
done
faults '{"slow_ms":300}'
for _ in $(seq 20); do
    n=$((n + 1))
    change "d$((n % 4 + 1))" "$n"
done
faults '{}'
sleep 2
touch "$RUN_DIR/stop"
wait "${watchers[@]}"
wait "$load"

for page in $(seq 0 2); do
    curl -s "http://$(addr d2 api)/v1/history?before=$((page * 100))"
done | tr '{' '\n' | sed -n 's/.*"change":"\([0-9a-f]*\)".*/\1/p' | sort >"$RUN_DIR/history"
accepted=$(grep -c '"changed": true' "$RUN_DIR/answers" || true)
conflicts=$(grep -c '"error": "conflict"' "$RUN_DIR/answers" || true)
other=$(grep -vc -e '"changed": true' -e '"error": "conflict"' "$RUN_DIR/answers" || true)
late=$(grep '"changed": true' "$RUN_DIR/answers" | grep -vc '"stragglers": \[\]' || true)
lost=0 doubled=0 wrong=0
while read -r id; do
    count=$(grep -c "^$id\$" "$RUN_DIR/history" || true)
    if [ "$count" = 0 ]; then lost=$((lost + 1)); fi
    if [ "$count" -gt 1 ]; then doubled=$((doubled + 1)); fi
done < <(grep '"changed": true' "$RUN_DIR/answers" | sed -n 's/.*"change": "\([0-9a-f]*\)".*/\1/p')
while read -r id; do
    if grep -q "^$id\$" "$RUN_DIR/history"; then wrong=$((wrong + 1)); fi
done < <(grep -e '"error": "conflict"' -e '"error": "store-down"' "$RUN_DIR/answers" | sed -n 's/.*"change": "\([0-9a-f]*\)".*/\1/p')
grep '"changed": true' "$RUN_DIR/answers" | sed -n 's/.*"elapsed_ms": \([0-9]*\).*/\1/p' | sort -n >"$RUN_DIR/times"
total=$(wc -l <"$RUN_DIR/times")
at() { sed -n "$(((total * $1 + 99) / 100))p" "$RUN_DIR/times"; }
reverts=$(cat "$RUN_DIR"/watch-d* | awk '{ sum += $1 } END { print sum }')
echo "changes=$(wc -l <"$RUN_DIR/answers") accepted=$accepted conflicts=$conflicts other=$other"
echo "in_force_ms.p50=$(at 50) in_force_ms.p99=$(at 99) in_force_ms.max=$(at 100) late=$late"
echo "reverts=$reverts lost=$lost doubled=$doubled refused_but_applied=$wrong versions=$(cut -d' ' -f2 "$RUN_DIR"/watch-d* | tr '\n' ',')"
echo "store.before=$writes_before store.after=$(curl -s "http://$(addr store listen)/calls")"
grep -E '^(ok|answer|sent|p99|latency)' "$RUN_DIR/load" | tr '\n' ' '
echo
[ "$accepted" -ge 100 ] && [ "$(at 100)" -le 5000 ] && [ "$late" = 0 ] && [ "$reverts" = 0 ] &&
    [ "$lost" = 0 ] && [ "$doubled" = 0 ] && [ "$wrong" = 0 ]
