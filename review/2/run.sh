#!/usr/bin/env bash
# Case 2. One of eight caches with a disk tier is killed and comes back while the discovery service is down. An
# object was purged meanwhile, and all routers were told. Exits with 1 if a router answers from a copy older
# than the purge, with 0 if not, and with 2 if the case could not run. TROUBLE=0: no cache is killed and the
# discovery service stays up.
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../lib.sh"
caches=8
routers=3
outage_ms=8000  # "discovery is down for 8 s"
restart_ms=6500 # from the kill of the cache to its restart, "after 6.4 to 22 s"
grace_ms=350    # HeedWithinS, and 50 ms on sockets

mapfile -t ports < <(free_ports $((caches + routers + 2)))
board="127.0.0.1:${ports[0]}"
origin="127.0.0.1:${ports[1]}"
cache_address() { echo "127.0.0.1:${ports[$((2 + $1))]}"; }
router_address() { echo "127.0.0.1:${ports[$((2 + caches + $1))]}"; }

# ---- The discovery service's page, the origin and the caches ----
page='{"rev":1,"notices":[{"rev":1,"pool":{"index":1,"snapshot":true,"endpoints":['
page+="$(entry origin "$origin" hub origin)"
for ((i = 0; i < caches; ++i)); do page+=",$(entry "cache-$i" "$(cache_address "$i")" edge small)"; done
page+=']}}]}'
echo "$page" >"$work/page.json"
classes='"classes":{"media":{"fresh_ms":0}}'
echo "{\"board\":{\"listen\":\"$board\",\"file\":\"$work/page.json\"}}" >"$work/board.json"
echo "{\"origin\":{\"listen\":\"$origin\",\"size_kb\":20}}" >"$work/origin.json"
for ((i = 0; i < caches; ++i)); do
  cat >"$work/cache-$i.json" <<END
{"store":{"folder":"$work/disk-$i","disk_mb":64,"memory_mb":16},
 "cache":{"name":"cache-$i","listen":"$(cache_address "$i")","board":"$board","sources":["origin=$origin"],
  "origin":"origin"},$classes}
END
done

# ---- The routers ----
for ((i = 0; i < routers; ++i)); do
  cat >"$work/router-$i.json" <<END
{"name":"n$i","listen":"$(router_address "$i")","board":"$board","seed":"$((i + 1))",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":$page,
 "settings":$(settings $i $routers)}
END
done

launch origin "$program" origin --config "$work/origin.json"
launch board "$program" board --config "$work/board.json"
for ((i = 0; i < caches; ++i)); do launch "cache-$i" "$program" cache --config "$work/cache-$i.json"; done
for ((i = 0; i < caches; ++i)); do
  await 100 logged "cache-$i" "received discovery events" || cannot "cache-$i did not start"
done
for ((i = 0; i < routers; ++i)); do launch_router "router-$i" "$(router_address "$i")"; done
for ((i = 0; i < routers; ++i)); do await 100 logged "router-$i" "listens on" || cannot "router-$i did not start"; done

# ask ROUTER ITEM: one request; sets `sent`, `version` of the object that was served (empty: none) and `source`.
ask() {
  local out status
  sent=$(now_ms)
  rm -f "$work/body"
  out=$("$program" get --router "$(router_address "$1")" --size-kb 20 --patience 3000 --json \
    --output "$work/body" "$2/0" 2>&1 | tr -d '\n')
  status=$(sed -n 's/.*"status":\([0-9]*\).*/\1/p' <<<"$out")
  source=$(sed -n 's/.*"source":"\([^"]*\)".*/\1/p' <<<"$out")
  version=""
  if [ "$status" = 200 ] && [ -s "$work/body" ]; then
    version=$(head -n 1 "$work/body" | sed 's,.*/,,')
  fi
  note "router-$1 object $2: sent $sent, status ${status:-none}, from ${source:-none}, version ${version:-none}"
}

# ---- Warm: every object twice, so that its cache keeps it on disk ----
objects=()
for ((i = 0; i < 24; ++i)); do objects+=("$(printf '7f3a9c21e0b4%04x' $((i * 977 + 17)))"); done
fetch() { # ROUTER ITEM: asks again after a refusal, as clients do
  ask "$1" "$2"
  for ((try = 0; try < 30; ++try)); do
    [ -z "$version" ] || return 0
    sleep 0.05
    ask "$1" "$2"
  done
  cannot "object $2 was not served before the trouble"
}
declare -A home=()
for round in 1 2; do
  for object in "${objects[@]}"; do
    fetch $((round % routers)) "$object"
    home[$object]="${source%%;*}"
  done
done
object="${objects[0]}"
fetch 0 "$object"
first_version=$version
victim="${source%%;*}"
case "$victim" in cache-*) ;; *) cannot "object $object does not come from a cache" ;; esac
# Some traffic for objects of the other caches goes on through all routers, until the file `stop` exists.
others=()
for one in "${objects[@]}"; do [ "${home[$one]}" = "$victim" ] || others+=("$one"); done
[ "${#others[@]}" -gt 0 ] || cannot "one cache has all objects"
for ((i = 0; i < routers; ++i)); do
  launch "traffic-$i" bash -c '
    out=$1 stop=$2 program=$3 router=$4
    shift 4
    n=0
    while [ ! -e "$stop" ] && [ "$n" -lt 600 ]; do
      n=$((n + 1))
      echo "${@:$((1 + n % $#)):1}/0"
      sleep 0.05
    done | "$program" get --router "$router" --size-kb 20 - >"$out" 2>&1
    exit 0' traffic "$work/traffic-$i.out" "$work/stop" "$program" "$(router_address "$i")" "${others[@]}"
done
sleep 1.5 # until the copies are written to disk

# ---- The trouble ----
note "object $object is at $victim"
start=$(now_ms)
[ "$trouble" = 0 ] || end "$victim" KILL
sleep_until $((start + 300))
end origin HUP # the object has a new version at the origin
await 20 logged origin "new version" || cannot "the origin has no new version"
"$program" notice "$work/page.json" object "$object" >>"$record" || cannot "the purge was not published"
published=$(now_ms)
note "purge of $object published: it counts as told"
told=$published
sleep_until $((start + 1500))
down=$(now_ms)
[ "$trouble" = 0 ] || end board KILL
sleep_until $((start + restart_ms))
[ "$trouble" = 0 ] || launch "$victim" "$program" cache --config "$work/$victim.json"

# ---- Requests for the object, later than all times that the pages give caches and routers ----
broken=0
answered=0
restarted=0
sleep_until $((start + 8800))
while [ "$(now_ms)" -lt $((start + 12000)) ]; do
  if [ "$restarted" = 0 ] && [ "$(now_ms)" -ge $((down + outage_ms)) ]; then
    restarted=1
    [ "$trouble" = 0 ] || launch board "$program" board --config "$work/board.json"
  fi
  for ((i = 0; i < routers; ++i)); do
    ask "$i" "$object"
    [ -z "$version" ] || answered=$((answered + 1))
    if [ -n "$version" ] && [ "$version" -le "$first_version" ] && [ "$sent" -gt $((told + grace_ms)) ]; then
      broken=$((broken + 1))
      note "BROKEN: the request was sent $((sent - told)) ms after the routers were told of the purge"
    fi
  done
  sleep 0.05
done
touch "$work/stop"
for name in "${!pids[@]}"; do
  case "$name" in traffic-*) continue ;; esac
  kill -0 "${pids[$name]}" 2>/dev/null || cannot "$name has ended by itself"
done
for ((i = 0; i < routers; ++i)); do
  note "other traffic through router-$i: $(grep -c "status 200" "$work/traffic-$i.out") served," \
    "$(grep -vc "status 200" "$work/traffic-$i.out") not"
done
[ "$answered" -gt 0 ] || cannot "no request was answered after the purge"
note "answered $answered, of these from a copy older than the purge: $broken"
echo "case 2: $answered answers after the purge, $broken of them from a copy older than it"
[ "$broken" = 0 ] || exit 1
exit 0
