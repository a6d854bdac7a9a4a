#!/usr/bin/env bash
# Case 3. The discovery service answers each call 3.5 s late, and a cache begins to drain. Exits with 1 if the
# router sends the cache anything new after the time that the pages give it, with 0 if not, and with 2 if the
# case could not run. TROUBLE=0: the discovery service is not slow.
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../lib.sh"
caches=8
slow_ms=3500   # less than the 7 s after which everything counts as told
told_ms=7000   # "counts as told 7 s later at the latest"
grace_ms=1050  # DrainGraceS, and 50 ms on sockets

mapfile -t ports < <(free_ports $((caches + 4)))
board="127.0.0.1:${ports[0]}"
slow="127.0.0.1:${ports[1]}" # the address of the discovery service that the router is given
origin="127.0.0.1:${ports[2]}"
router="127.0.0.1:${ports[3]}"
cache_address() { echo "127.0.0.1:${ports[$((4 + $1))]}"; }
page='{"rev":1,"notices":[{"rev":1,"pool":{"index":1,"snapshot":true,"endpoints":['
page+="$(entry origin "$origin" hub origin)"
for ((i = 0; i < caches; ++i)); do page+=",$(entry "cache-$i" "$(cache_address "$i")" edge small)"; done
page+=']}}'
echo "$page]}" >"$work/page.json"
echo "{\"board\":{\"listen\":\"$board\",\"file\":\"$work/page.json\"}}" >"$work/board.json"
echo "{\"origin\":{\"listen\":\"$origin\",\"size_kb\":10,\"transfers\":1000}}" >"$work/origin.json"
cat >"$work/router.json" <<END
{"name":"n0","listen":"$router","board":"$slow","seed":"1",
 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
 "flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":$page]},"settings":$(settings 0 1)}
END
launch origin "$program" origin --config "$work/origin.json"
launch board "$program" board --config "$work/board.json"
for ((i = 0; i < caches; ++i)); do
  cat >"$work/cache-$i.json" <<END
{"store":{"memory_mb":16},"classes":{"media":{"fresh_ms":0}},
 "cache":{"name":"cache-$i","listen":"$(cache_address "$i")","board":"$board","origin":"origin"}}
END
  launch "cache-$i" "$program" cache --config "$work/cache-$i.json"
done
for ((i = 0; i < caches; ++i)); do
  await 100 logged "cache-$i" "received discovery events" || cannot "cache-$i did not start"
done
launch proxy "$clients/slow_proxy" "$slow" "$board" "$slow_ms" "$work/slow"
await 50 bash -c "exec 3<>/dev/tcp/${slow/://}" 2>/dev/null || cannot "the proxy did not start"
launch_router router "$router"
await 100 logged router "listens on" || cannot "the router did not start"

# One request after the other, about 50 a second in all, each for another object; its cache is in the answer.
ask_until() { # MS: asks until this time
  local out number=0
  while [ "$(now_ms)" -lt "$1" ]; do
    number=$((number + 1))
    sent=$(now_ms)
    out=$("$program" get --router "$router" --size-kb 10 --patience 2500 --json \
      "$(printf '%08x%08x' "$(($(now_ms) % 65536))" "$number")/0" 2>&1 | tr -d '\n')
    status=$(sed -n 's/.*"status":\([0-9]*\).*/\1/p' <<<"$out")
    source=$(sed -n 's/.*"source":"\([^;"]*\).*/\1/p' <<<"$out")
    note "request sent $sent, status ${status:-none}, from ${source:-none}"
    [ "$status" != 200 ] || served=$((served + 1))
    if [ "$source" = cache-0 ]; then
      [ "$late" = 0 ] || late_sends=$((late_sends + 1))
      [ "$late" = 0 ] || note "BROKEN: sent to cache-0 $((sent - published)) ms after its drain was published"
      sends=$((sends + 1))
    fi
  done
}
served=0
sends=0
late=0
late_sends=0
[ "$trouble" = 0 ] || touch "$work/slow"
note "the discovery service is slow from now on, by $slow_ms ms"
ask_until $(($(now_ms) + 5000))
[ "$sends" -gt 0 ] || cannot "cache-0 got no request before its drain"

# cache-0 begins to drain, and stays up to the end.
drain="$(entry cache-0 "$(cache_address 0)" edge small draining)"
echo "${page},{\"rev\":2,\"pool\":{\"index\":2,\"snapshot\":false,\"endpoints\":[$drain]}}]}" |
  sed 's/^{"rev":1,/{"rev":2,/' >"$work/page.next"
mv "$work/page.next" "$work/page.json"
await 20 logged board "up to event 2" || cannot "the drain was not published"
published=$(now_ms)
note "cache-0 drains: published"
before=$sends
ask_until $((published + told_ms + grace_ms))
note "requests from cache-0 until it counts as told, and the grace: $((sends - before))"
late=1
ask_until $((published + told_ms + grace_ms + 15000))
for name in "${!pids[@]}"; do running "$name" || cannot "$name has ended by itself"; done
[ "$served" -gt 0 ] || cannot "no request was served"
note "served $served in all; sent to the draining cache too late: $late_sends"
echo "case 3: $late_sends requests were sent to a draining cache more than $((told_ms + grace_ms)) ms after it was published"
[ "$late_sends" = 0 ] || exit 1
exit 0
