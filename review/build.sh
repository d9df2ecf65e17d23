#!/usr/bin/env bash
# Builds the stand-ins and cases that review/*/run.sh start; needs the JDK only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -encoding UTF-8 -d target/review review/*.java
