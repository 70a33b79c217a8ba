#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/stand ] && [ -x target/laburnumring ] || { echo "run the build line of deploy/system.toml and review/build.sh first"; exit 2; }
timeout -k 1 115 review/bin/stand poison review/5/record.txt
rc=$?
[ $rc -le 2 ] || rc=2
exit $rc
