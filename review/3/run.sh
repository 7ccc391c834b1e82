#!/bin/bash
# A reload lengthens the class's window while a request that ran under the shorter one may still be repeated. See claim.txt.
set -u
here=$(cd "$(dirname "$0")" && pwd)
record=$here/record.txt # what was sent, answered and run
. "$here/../lib.sh"

mapfile -t port < <("$standin" ports 2)
listen=${port[0]} vm=${port[1]}
server_config s1 "$listen" "$vm" 30000000 >"$work/longer.json"
if [ "$trouble" = 1 ]; then
    server_config s1 "$listen" "$vm" 13170000 >"$work/config.json"
else # the longer window holds from the start, and nothing is reloaded
    cp "$work/longer.json" "$work/config.json"
fi

interpreter vm "$vm"
serve s1 "$work/config.json"
server=$pid
ready "127.0.0.1:$listen"

ask first --addr "127.0.0.1:$listen" --key 5c0f6e1a2b3d4c59a8b7c6d5e4f30211 --body sheet-1
ran_at=$(sed -n 's/.* first sent .* s \([0-9]*\) d .*/\1/p' "$record")
sleep 1
if [ "$trouble" = 1 ]; then
    mv "$work/longer.json" "$work/config.json"
    kill -HUP "$server"
    logged s1 'reload: done'
    note "SIGHUP: memory_span is 30000 ms from now on, it was 13170"
fi
while [ $(($(date +%s%3N) - ran_at)) -lt 25000 ]; do sleep 0.05; done
ask second --addr "127.0.0.1:$listen" --key 5c0f6e1a2b3d4c59a8b7c6d5e4f30211 --body sheet-1
again_at=$(sed -n 's/.* second sent .* s \([0-9]*\) d .*/\1/p' "$record")

sleep 1
runs vm sheet-1 >>"$record"
n=$(runs vm sheet-1 | wc -l)
note "tries $((again_at - ran_at)) ms apart, runs of the request: $n"
grep -q ' first served ' "$record" || cant "the first try was not served"
[ $((again_at - ran_at)) -le 30000 ] || cant "the second try came too late"
[ "$n" -gt 1 ] && { note "broken: the request ran $n times inside its window"; exit 1; }
note "held"
exit 0
