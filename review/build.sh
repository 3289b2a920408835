#!/usr/bin/env bash
# Builds the stand-ins of the scripts with the JDK alone, into review/target.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -d target/classes standins/*.java
