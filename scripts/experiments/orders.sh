# Orders that may not be repeated, while servers crash, stall, shed, cross answers and go silent and
# daemons restart. Bounds: doubled=0, lost=0, false_not_run=0. ORDERS sets the number (20000).

total=${ORDERS:-20000}
rate=400
start_fleet --ledgers
key=$(give_key tienda-cartago orders-1)
sleep 2
targets=$(addr d1 listen)+$(addr d2 listen)+$(addr d3 listen)+$(addr d4 listen)
ledgers=()
for n in 1 2 3 4; do ledgers+=(--ledger "$RUN_DIR/sacristia-$n.ledger"); done
"$BIN/pomelo-load" --seconds $((total / rate)) "${ledgers[@]}" --stream \
    "name=orders,target=$targets,method=POST,path=/tienda-cartago/orders,key=$key,rate=$rate,orders=yes" \
    >"$RUN_DIR/result" &
load=$!

# mode NUMBER JSON: switches a gray mode of one server.
mode() {
    curl -s -m 2 -X PUT --data "$2" "http://$(addr "sacristia-$1" listen)/_mode" >/dev/null || true
}

for round in 1 2 3; do
    kill -0 "$load" 2>/dev/null || break
    mode 1 '{"wrong_id":0.2}'; sleep 2
    mode 1 '{"truncate":0.2,"stall":0.1}'; sleep 2
    mode 1 '{}'; mode 2 '{"silence_after_ms":500}'; sleep 2
    mode 2 '{"shed":0.5}'; sleep 1
    mode 2 '{}'; mode 3 '{"errors":0.5}'; sleep 2
    mode 3 '{"silent":true}'; sleep 2
    mode 3 '{}'
    kill -9 "$(pid sacristia-4)"; sleep 1
    start_server sacristia 4
    restart_daemon "$round" TERM
done
wait "$load" || true
cat "$RUN_DIR/result"
verdict() { sed -n "s/^$1=//p" "$RUN_DIR/result"; }
[ "$(verdict orders)" -gt 0 ] && [ "$(verdict doubled)" = 0 ] && [ "$(verdict lost)" = 0 ] &&
    [ "$(verdict false_not_run)" = 0 ]
