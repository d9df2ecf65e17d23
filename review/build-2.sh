#!/usr/bin/env bash
# Builds the stand-ins of the second review, which need nothing but the JDK.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac -nowarn -d target/review-2 review/kit2/*.java
