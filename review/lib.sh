# Shared by the scripts of the cases: processes, free ports, time, and the record. A script sets `here` (its
# folder) and sources this file.
set -u
root="$(cd "$here/../.." && pwd)"
program="$root/build/trailcourse"
clients="$root/review/bin"
trouble="${TROUBLE:-1}"
record="$here/record.txt"
work="$(mktemp -d)"
declare -A pids=()

now_ms() { date +%s%3N; }
note() { echo "$(now_ms) $*" >>"$record"; }
finish() {
  local status=$?
  for name in "${!pids[@]}"; do kill -KILL -- "-${pids[$name]}" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$work"
  exit "$status"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
cannot() { # REASON: ends the script
  note "cannot run: $1"
  echo "the case could not run: $1"
  exit 2
}
launch() { # NAME COMMAND...: starts a process in a group of its own; its output goes to NAME.log
  local name=$1
  shift
  setsid "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
  disown "${pids[$name]}"
  note "started $name, pid ${pids[$name]}"
}
end() { # NAME SIGNAL
  kill "-$2" "${pids[$1]}" 2>/dev/null
  note "sent SIG$2 to $1"
  if [ "$2" = KILL ]; then
    while kill -0 "${pids[$1]}" 2>/dev/null; do sleep 0.005; done
    unset "pids[$1]"
  fi
}
running() { kill -0 "${pids[$1]}" 2>/dev/null; }
await() { # TENTHS COMMAND...: waits until the command succeeds
  local left=$1
  shift
  until "$@"; do
    left=$((left - 1))
    [ "$left" -gt 0 ] || return 1
    sleep 0.1
  done
}
logged() { grep -q "$2" "$work/$1.log" 2>/dev/null; } # NAME TEXT
sleep_until() { # MS
  local left=$(($1 - $(now_ms)))
  [ "$left" -le 0 ] || sleep "$(printf '%d.%03d' $((left / 1000)) $((left % 1000)))"
}
free_ports() { # COUNT: loopback ports that nothing listens on, below the range of outgoing connections
  local found=0 port=$((12000 + RANDOM % 12000))
  while [ "$found" -lt "$1" ]; do
    port=$((port + 1))
    if ! (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "$port"
      found=$((found + 1))
    fi
  done
}
entry() { # NAME ADDRESS ZONE TYPE [STATUS]: one line of the endpoint list
  printf '{"name":"%s","address":"%s","zone":"%s","type":"%s","group":0,"status":"%s","weight":8,"since_ms":0}' \
    "$1" "$2" "$3" "$4" "${5:-up}"
}
# The settings of tg-austria for router INDEX of COUNT, with its class `media`.
settings() { # INDEX COUNT
  cat <<END
{"Az":"edge","Balancers":$2,"SelfIndex":$1,"Zones":["hub","edge"],
  "Kinds":["small","large","parent","origin"],"Weights":"rough","Discovery":"push","Family":"edge",
  "Classes":[{"Name":"media","Effect":"safe","ObjectiveS":0.6,"AimStretch":2.0,"GiveUpS":6.0,"Worth":2.0}],
  "Extra":{"MidKind":2,"OriginKind":3,"CountByZone":[0,$2],"ZoneLinkKbPerS":[0,99729],
   "StreamKbPerS":6300,"LifetimeByClassS":[0],"ClassGraceS":[0],"Uncached":[false],"Segmented":[true],
   "NoteLevel":"all","Direct":true,"Collapses":false,"Siblings":"any","HeedWithinS":0.3,
   "ClearedWithinS":6.0,"ParentFloor":0.064,"ParentRampS":21,"ParentBreaksAt":2},
  "Limits":{"AttemptsCap":8,"Cancel":true,"ParallelTries":true,"ConnIdleS":15,"ConnectTimeoutS":0.4,
   "StreamsPerConn":32,"MaxOpen":20000,"RetryAfter":false,"MaxRetryAfterS":2},
  "Rules":{"DrainGraceS":1,"ColdFrom":0.31,"ColdS":18,"OverloadFactor":4,"OverloadForS":2,"AnswerSlackS":0.008},
  "Report":{"How":"answers","Fields":["concurrent","x0","x1"]}}
END
}
# Starts router INDEX as `run` of the deploy file does; its configuration is $work/NAME.json.
launch_router() { # NAME ADDRESS
  launch "$1" env "NODE_LISTEN=$2" "NODE_CONFIG=$work/$1.json" sh -c "cd '$root' && exec build/trailcourse serve"
}

: >"$record"
note "trouble=$trouble"
[ -x "$program" ] || cannot "no $program: run the build of deploy/balancer.toml"
[ -x "$clients/bad_client" ] || cannot "no $clients/bad_client: run review/build.sh"
