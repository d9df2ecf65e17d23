#!/usr/bin/env bash
# Builds the program that deploy/system.toml runs and copies it with its libraries to target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mvn --batch-mode --no-transfer-progress -q -DskipTests -Dcheckstyle.skip -Dspring-javaformat.validate.skip -pl platform -am package
mkdir -p target/lib
cp platform/target/lib/*.jar target/lib/
cp "$(ls platform/target/mulberrylift-platform-*.jar | head -1)" target/mulberrylift.jar
# Archives the classes that a start loads, which halves the CPU time of a start. The program also runs without the archive.
rm -f target/mulberrylift.jsa
java -XX:ArchiveClassesAtExit=target/mulberrylift.jsa -Xmx112m -XX:+UseSerialGC -XX:TieredStopAtLevel=1 \
	-jar target/mulberrylift.jar --rehearse >target/rehearsal.log 2>&1 ||
	echo "class data sharing archive not created; see target/rehearsal.log" >&2
