# Rolling SIGTERM of every daemon under load. Bound: no request is cut.

start_fleet
key=$(give_key tienda-cartago restart-1)
sleep 2
targets=$(addr d1 listen)+$(addr d2 listen)+$(addr d3 listen)+$(addr d4 listen)
"$BIN/pomelo-load" --seconds 24 \
    --stream "name=stock,target=$targets,path=/tienda-cartago/stock,key=$key,rate=200" \
    --stream "name=orders,target=$targets,method=POST,path=/tienda-cartago/orders,key=$key,rate=50" \
    >"$RUN_DIR/result" &
load=$!
for n in 1 2 3 4; do
    sleep 3
    restart_daemon "$n" TERM
done
wait "$load"
cat "$RUN_DIR/result"
cut=$(sed -n 's/^answer.cut=//p' "$RUN_DIR/result")
echo "cut=${cut:-0}"
[ "${cut:-0}" = 0 ]
