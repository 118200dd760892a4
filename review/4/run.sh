#!/usr/bin/env bash
# Plays case 4; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "${BASH_SOURCE[0]}")" || exit 2
[ -d ../target/classes ] && [ -f ../../target/cassiaspindle.jar ] || exit 2
timeout -k 3 114 java -Xmx128m -cp ../target/classes ForgottenLeave "$(cd ../.. && pwd)" "$PWD/record.txt"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
