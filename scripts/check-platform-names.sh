#!/usr/bin/env bash
# Fails if a source file outside the adapter in platform/ contains a name of the users' platform.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Expect-Instance|Hop-Count|Server-Stamp|Token-Count|At-Server|Not-Run|Prompt-Prefix|Length-Hint'
names="$names|ApiKeys|TrafficSplit|PathPrefix|AllowAnonymous|ResumeStreams|TargetLatencyMs|MaxAttempts|KvTokenBytes"
names="$names|HeartbeatMs|InternalPorts|FrontAddresses|ColdRemainingMs|/api/(config|instances|order|report|resolve|ready)"
names="$names|CASSIASPINDLE_CONFIG"
if git ls-files -- '*.kt' '*.yaml' '*.properties' | grep -v '^platform/' | xargs grep -nE "$names"; then
  echo "platform names: found outside platform/" >&2
  exit 1
fi
echo "platform names: ok"
