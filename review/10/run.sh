#!/usr/bin/env bash
# A configuration adds a route that is split by large weights.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
exec timeout --signal=KILL 118 java -Xmx1g -cp target/review-2 AddedRouteCase review/10/record.txt weights
