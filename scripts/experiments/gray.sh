# One of four servers of a service turns slow, then erring, then silent, while its health page claims to be
# well. Bounds: at most 2% of requests fail in each phase, and the server is back in work at the end.

start_fleet
key=$(give_key tienda-cartago gray-1)
targets=$(addr d1 listen)+$(addr d2 listen)+$(addr d3 listen)+$(addr d4 listen)
sick=sacristia-1
sleep 3
# The coordinator counts nothing in its first seconds; it needs quiet traffic as reference too.
"$BIN/pomelo-load" --seconds 12 --stream \
    "name=quiet,target=$targets,path=/tienda-cartago/stock,key=$key,rate=200" | sed 's/^/quiet./'

# weight: the lowest weight that any daemon gives the sick server.
weight() {
    for n in 1 2 3 4; do
        { curl -s -m 1 "http://$(addr "d$n" api)/v1/explain/server/$sick"; echo; } | sed -n 's/.*"weight":\([0-9.]*\).*/\1/p'
    done | sort -g | head -1 || true
}

# decided WHAT: whether any daemon made the decision since the phase began.
decided() {
    for n in 1 2 3 4; do
        curl -s -m 1 "http://$(addr "d$n" api)/v1/explain/server/$sick"
    done | grep -o "\"decision\":\"$1\"[^}]*\"wall_ms\":[0-9]*" | sed 's/.*://' | sort -n |
        awk -v from="$2" '$1 >= from { print $1; exit }' || true
}

phase() {
    local name=$1 mode=$2 from
    from=$(date +%s%3N)
    curl -s -m 2 -X PUT --data "$mode" "http://$(addr "$sick" listen)/_mode" >/dev/null
    "$BIN/pomelo-load" --seconds 10 --stream \
        "name=stock,target=$targets,path=/tienda-cartago/stock,key=$key,rate=200" >"$RUN_DIR/$name"
    sed "s/^/$name./" "$RUN_DIR/$name"
    for what in avoided ejected; do
        at=$(decided "$what" "$from")
        echo "$name.${what}_ms=$([ -n "$at" ] && echo $((at - from)) || echo none)"
    done
    echo "$name.weight=$(weight)"
    from=$(date +%s%3N)
    curl -s -m 2 -X PUT --data '{}' "http://$(addr "$sick" listen)/_mode" >/dev/null
    "$BIN/pomelo-load" --seconds 20 --stream \
        "name=stock,target=$targets,path=/tienda-cartago/stock,key=$key,rate=200" >"$RUN_DIR/$name-after" &
    local load=$!
    for _ in $(seq 40); do
        [ "$(weight)" = 1.0 ] && break
        sleep 0.5
    done
    echo "$name.returned_ms=$(($(date +%s%3N) - from))"
    wait "$load"
}

phase slow '{"slow":10}'
phase erring '{"errors":1.0}'
phase silent '{"silent":true}'
echo "end.weight=$(weight)"
share() { sed -n 's/^good_share=//p' "$RUN_DIR/$1"; }
awk -v a="$(share slow)" -v b="$(share erring)" -v c="$(share silent)" -v w="$(weight)" \
    'BEGIN { exit !(a >= 0.98 && b >= 0.98 && c >= 0.98 && w == 1) }'
