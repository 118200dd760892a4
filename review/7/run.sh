#!/usr/bin/env bash
# An operator sends configurations in which one byte is damaged.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
exec timeout --signal=KILL 118 java -Xmx1g -cp target/review-2 DamagedCase review/7/record.txt
