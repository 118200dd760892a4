#!/usr/bin/env bash
# The configuration changes some hundred times, and the processes are restarted four times.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
# The disk of a machine has 64 MB (DiskMb), which here bounds each file that a process of this script writes.
ulimit -f 65536 || exit 2
exec timeout --signal=KILL 118 java -Xmx1g -cp target/review-2 GrowthCase review/8/record.txt
