#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, with the JDK alone.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target/classes
javac -Xlint:all -d target/classes standin/*.java
