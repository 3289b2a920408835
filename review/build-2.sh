#!/bin/sh
# Builds the stand-ins of the second review's scripts into a folder of their own.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
rm -rf "$here/second/target"
mkdir -p "$here/second/target/classes"
javac --release 17 -d "$here/second/target/classes" "$here"/second/*.java
