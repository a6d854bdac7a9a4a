#!/usr/bin/env bash
# Case 1. Bad clients send at full speed, and the same again as soon as it is turned away. Exits with 1 if a
# router goes over its memory limit, with 0 if not, and with 2 if the case could not run. TROUBLE=0: no bad
# clients.
here="$(cd "$(dirname "$0")" && pwd)"
. "$here/../lib.sh"
caches=8
memory_mb=48      # "32 to 192 MB"
sockets=576       # "256 to 1,024 descriptors"
bad_connections=8 # of the 192 that clients may hold: "a third of the descriptor limit at most"
seconds=85

mapfile -t ports < <(free_ports $((caches + 3)))
board="127.0.0.1:${ports[0]}"
origin="127.0.0.1:${ports[1]}"
router="127.0.0.1:${ports[2]}"
page='{"rev":1,"notices":[{"rev":1,"pool":{"index":1,"snapshot":true,"endpoints":['
page+="$(entry origin "$origin" hub origin)"
for ((i = 0; i < caches; ++i)); do page+=",$(entry "cache-$i" "127.0.0.1:${ports[$((3 + i))]}" edge small)"; done
page+=']}}]}'
echo "$page" >"$work/page.json"
echo "{\"board\":{\"listen\":\"$board\",\"file\":\"$work/page.json\"}}" >"$work/board.json"
cat >"$work/router.json" <<END
{"name":"n0","listen":"$router","board":"$board","seed":"1",
 "limits":{"cores":1.0,"memory_mb":$memory_mb,"sockets":$sockets},
 "flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":$page,"settings":$(settings 0 1)}
END

# The origin has 40 objects; the caches keep them in memory. What else is asked for, nobody has.
mkdir "$work/objects"
objects=()
for ((i = 0; i < 40; ++i)); do
  objects+=("$(printf '7f3a9c21e0b4%04x' $((i * 977 + 17)))")
  head -c 12000 /dev/urandom >"$work/objects/${objects[$i]}"
done
echo "{\"origin\":{\"listen\":\"$origin\",\"folder\":\"$work/objects\",\"transfers\":1000}}" >"$work/origin.json"
launch origin "$program" origin --config "$work/origin.json"
launch board "$program" board --config "$work/board.json"
for ((i = 0; i < caches; ++i)); do
  cat >"$work/cache-$i.json" <<END
{"store":{"memory_mb":16},"classes":{"media":{"fresh_ms":0}},
 "cache":{"name":"cache-$i","listen":"127.0.0.1:${ports[$((3 + i))]}","board":"$board","origin":"origin"}}
END
  launch "cache-$i" "$program" cache --config "$work/cache-$i.json"
done
for ((i = 0; i < caches; ++i)); do
  await 100 logged "cache-$i" "received discovery events" || cannot "cache-$i did not start"
done
launch_router router "$router"
await 100 logged router "listens on" || cannot "the router did not start"

# The usual clients: about 20 requests a second.
launch usual bash -c '
  program=$1 router=$2 stop=$3
  shift 3
  n=0
  while [ ! -e "$stop" ] && [ "$n" -lt 3000 ]; do
    n=$((n + 1))
    echo "${@:$((1 + n % $#)):1}"
    sleep 0.05
  done | "$program" get --router "$router" --size-kb 12 -
  exit 0' usual "$program" "$router" "$work/stop" "${objects[@]}"
# What the process alone holds, without the pages of its program and of the libraries.
memory_kb() { sed -n "s/^RssAnon:[^0-9]*\([0-9]*\).*/\1/p" "/proc/${pids[router]}/status" 2>/dev/null; }
sleep 2
note "memory of the router before: $(memory_kb) KB"

[ "$trouble" = 0 ] || launch bad "$clients/bad_client" "$router" "$bad_connections" "$((seconds + 1))"
start=$(now_ms)
broken=0
peak=0
while [ "$(now_ms)" -lt $((start + seconds * 1000)) ]; do
  sleep 1
  kb=$(memory_kb)
  if [ -z "$kb" ]; then
    note "BROKEN: the router has ended by itself"
    broken=1
    break
  fi
  [ "$kb" -le "$peak" ] || peak=$kb
  note "$((($(now_ms) - start) / 1000)) s: memory of the router $kb KB"
  if [ "$kb" -gt $((memory_mb * 1024)) ]; then
    note "BROKEN: over the limit of $memory_mb MB; the platform kills the router"
    end router KILL
    broken=1
    break
  fi
done
touch "$work/stop"
sleep 1.5
[ "$trouble" = 0 ] || note "$(tail -n 1 "$work/bad.log")"
note "usual clients: $(grep -c 'status 200' "$work/usual.log") served, $(grep -c 'status 503' "$work/usual.log") refused," \
  "$(grep -c 'was closed\|cannot connect\|was lost\|no complete' "$work/usual.log") without an answer"
[ "$(grep -c 'status 200' "$work/usual.log")" -gt 0 ] || cannot "no usual client was served"
echo "case 1: the router held up to $((peak / 1024)) MB, its limit is $memory_mb MB"
[ "$broken" = 0 ] || exit 1
exit 0
