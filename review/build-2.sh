#!/usr/bin/env bash
# Compiles the stand-ins that the scripts of this review start. The JDK's own compiler is enough.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -Xlint:all -Werror -d target/review-2 review/standin-2/*.java
