# Two daemons with 21,000 customers, 13,000 routes and 420 services: the first file, then 20 changes.
# Bounds: in force within 5 s, resident memory at most 128 MB for each daemon.

CUSTOMERS=21000
ROUTES=13000
SERVICES=420
BOUND_KB=$((128 * 1000))

print_file() {
    printf '[fleet]\nshares = 256\n'
    awk -v n="$SERVICES" 'BEGIN { for (i = 0; i < n; i++) printf "[[service]]\nname = \"service-%d\"\n", i }'
    cat <<'TOML'
[[template]]
name = "shop"
body = '''
[[route]]
name = "{{ customer }}-stock"
prefix = "/{{ customer }}/stock"
service = "{{ service }}"
'''
[template.params.service]
type = "text"
TOML
    awk -v n="$CUSTOMERS" -v r="$ROUTES" -v s="$SERVICES" 'BEGIN { for (i = 0; i < n; i++) {
        printf "[[customer]]\nname = \"customer-%05d\"\nrate = 10\nburst = 20\n", i
        if (i < r) printf "template = \"shop\"\nparams = { service = \"service-%d\" }\n", i % s
    } }'
}

rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$(pid "$1")/status"; }
cpu_ms() { awk '{ print ($14 + $15) * 10 }' "/proc/$(pid "$1")/stat"; }
status() { curl -s "http://$(addr "$1" api)/v1/status"; }

start store pomelo-store
start_daemon 1
start_daemon 2
export POMELOCTL_API=$(addr d1 api)
sleep 1
print_file >"$RUN_DIR/big.toml"
first=$("$BIN/pomeloctl" --json apply "$RUN_DIR/big.toml" | tr -d '\n')
first_ms=$(sed -n 's/.*"elapsed_ms": \([0-9]*\).*/\1/p' <<<"$first")
sleep 3
idle=$(cpu_ms d2)
sleep 10
idle=$(($(cpu_ms d2) - idle))
busy=$(cpu_ms d2)
for n in $(seq 10 29); do
    curl -sf -X PUT --data "{\"name\":\"customer-000$n\",\"rate\":$n,\"burst\":20}" \
        "http://$POMELOCTL_API/v1/customers/customer-000$n" >/dev/null
done
sleep 10
busy=$(($(cpu_ms d2) - busy))
echo "first.in_force_ms=$first_ms first.answer=${first//[[:space:]]/}"
echo "d1.rss_kb=$(rss_kb d1) d2.rss_kb=$(rss_kb d2)"
echo "d2.idle_cpu_ms_in_10s=$idle d2.cpu_ms_in_10s_with_20_changes=$busy"
version_of() { status "$1" | sed -n 's/.*"version":\([0-9]*\)}*$/\1/p'; }
versions="$(version_of d1) $(version_of d2)"
echo "versions=$versions"
[ "${first_ms:-9999}" -le 5000 ] && [ "$versions" = "21 21" ] &&
    [ "$(rss_kb d1)" -le "$BOUND_KB" ] && [ "$(rss_kb d2)" -le "$BOUND_KB" ]
