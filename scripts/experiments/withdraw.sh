# Withdrawals while callers hold open connections: store up, a daemon paused, store down.
# Bound: no request with the key succeeds later than 5 s after the withdrawal was asked for.

PATH_OF_KEY=/parroquia-orosi/stock
BOUND_MS=5000

faults() { curl -sf -X PUT --data "$1" "http://$(addr store listen)/faults" >/dev/null; }
now_us() { echo "${EPOCHREALTIME/./}"; }

# hold DAEMON KEY SECONDS: requests on one connection, 50 a second; writes "TIME_US STATUS" lines.
hold() {
    curl -s -o /dev/null --rate 50/s -m "$3" -w '%{stderr}%{http_code}\n' -H "x-api-key: $2" \
        "http://$(addr "$1" listen)$PATH_OF_KEY?[1-$(($3 * 50))]" 2>&1 >/dev/null |
        while read -r status; do echo "$(now_us) $status"; done >"$RUN_DIR/hold-$1" || true
}

# case_of NAME KEY PAUSED: withdraws a key while four callers use it; PAUSED is a daemon or none.
case_of() {
    local name=$1 secret=$2 paused=$3 callers=() d asked code last before after
    for d in d1 d2 d3 d4; do
        hold "$d" "$secret" 12 &
        callers+=($!)
    done
    sleep 2
    if [ "$paused" != none ]; then kill -STOP "$(pid "$paused")"; fi
    asked=$(now_us)
    code=$("$BIN/pomeloctl" --json keys withdraw "$name" | tr -d '\n ')
    sleep 6
    if [ "$paused" != none ]; then kill -CONT "$(pid "$paused")"; fi
    wait "${callers[@]}" || true
    before=$(cat "$RUN_DIR"/hold-d* | awk -v t="$asked" '$2 == 200 && $1 <= t' | wc -l)
    after=$(cat "$RUN_DIR"/hold-d* | awk -v t="$asked" '$2 != 200 && $1 > t' | wc -l)
    last=$(cat "$RUN_DIR"/hold-d* | awk -v t="$asked" '$2 == 200 && $1 > t { if ($1 - t > m) m = $1 - t } END { printf "%d", m / 1000 }')
    echo "$name.before_ok=$before $name.after_refused=$after $name.longest_ms=$last $name.answer=$code"
    [ "$before" -gt 100 ] && [ "$after" -gt 100 ] && [ "$last" -le "$BOUND_MS" ] || failed=yes
}

failed=no
start_fleet
up=$(give_key parroquia-orosi store-up)
paused=$(give_key parroquia-orosi one-paused)
down=$(give_key parroquia-orosi store-down)
sleep 3
case_of store-up "$up" none
case_of one-paused "$paused" d4
faults '{"down":true}'
sleep 4
case_of store-down "$down" none
faults '{}'
sleep 20
unstored=$(curl -s "http://$(addr d2 api)/v1/keys" | sed -n 's/.*"withdrawals_unstored":\([0-9]*\).*/\1/p')
echo "unstored_after_return=$unstored"
[ "$failed" = no ] && [ "$unstored" = 0 ]
