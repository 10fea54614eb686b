# Time that a daemon adds: direct and through a daemon in the same run, at the same load.
# Bound: the 99th percentile grows by less than 5.2 ms, the users' limit; the goal is 1 ms.
# Then the processor time of a daemon with one traffic thread at a higher load.

start store pomelo-store
start_daemon 1 --threads 1
for n in 1 2 3 4; do
    start "s$n" pomelo-server --id "s$n" --service bodega-docs --region meseta --data-centre paraiso \
        --daemon "$(addr d1 api)" --slots 64 --work-ms 2
done
export POMELOCTL_API=$(addr d1 api)
"$BIN/pomeloctl" apply scripts/sample.toml >/dev/null
sleep 2
servers=$(addr s1 listen)+$(addr s2 listen)+$(addr s3 listen)+$(addr s4 listen)
"$BIN/pomelo-load" --seconds "${SECONDS_EACH:-10}" \
    --stream "name=direct,target=$servers,path=/catalogue/x,rate=1000" \
    --stream "name=daemon,target=$(addr d1 listen),path=/catalogue/x,rate=1000" | tee "$RUN_DIR/result"
value() { sed -n "s/^$1=//p" "$RUN_DIR/result"; }
added=$(($(value daemon.p99_us) - $(value direct.p99_us)))
echo "added_p50_us=$(($(value daemon.p50_us) - $(value direct.p50_us)))"
echo "added_p99_us=$added"
echo "added_p999_us=$(($(value daemon.p999_us) - $(value direct.p999_us)))"

# cpu: processor time of the daemon so far, in clock ticks of 10 ms.
cpu() { awk '{print $14 + $15}' "/proc/$(pid d1)/stat"; }
before=$(cpu)
"$BIN/pomelo-load" --seconds 5 --stream "name=daemon,target=$(addr d1 listen),path=/catalogue/x,rate=4000" \
    >"$RUN_DIR/more"
used=$(($(cpu) - before))
echo "requests_at_4000=$(sed -n 's/^requests=//p' "$RUN_DIR/more")"
echo "p99_us_at_4000=$(sed -n 's/^p99_us=//p' "$RUN_DIR/more")"
echo "requests_per_core_second=$((20000 * 100 / used))"
[ "$(value daemon.good_share)" = 1.00000 ] && [ "$added" -lt 5200 ]
