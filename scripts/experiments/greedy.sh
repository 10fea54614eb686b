# One customer at eight times its rate, the other inside its own. Bounds: the other keeps at least 99% of the
# share of good answers of its quiet run, and its 99th percentile at most three times the quiet one.

start_fleet
small=$(give_key parroquia-orosi greedy-small)
large=$(give_key tienda-cartago greedy-large)
sleep 3
targets=$(addr d1 listen)+$(addr d2 listen)+$(addr d3 listen)+$(addr d4 listen)
orosi="name=orosi,target=$targets,path=/parroquia-orosi/stock,key=$small,rate=160"
"$BIN/pomelo-load" --seconds 8 --stream "$orosi" --stream \
    "name=cartago,target=$targets,path=/tienda-cartago/stock,key=$large,rate=100" >"$RUN_DIR/quiet"
"$BIN/pomelo-load" --seconds 12 --stream "$orosi" --stream \
    "name=cartago,target=$targets,path=/tienda-cartago/stock,key=$large,rate=6400" >"$RUN_DIR/greedy"
sed 's/^/quiet./' "$RUN_DIR/quiet"
sed 's/^/greedy./' "$RUN_DIR/greedy"
value() { sed -n "s/^$2=//p" "$RUN_DIR/$1"; }
awk -v q="$(value quiet orosi.good_share)" -v g="$(value greedy orosi.good_share)" \
    -v qt="$(value quiet orosi.p99_us)" -v gt="$(value greedy orosi.p99_us)" 'BEGIN {
        printf "worst_share_ratio=%.4f\nworst_p99_ratio=%.2f\n", g / q, gt / qt
        exit !(g >= 0.99 * q && gt <= 3 * qt)
    }'
