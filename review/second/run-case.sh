#!/bin/sh
# Runs one case of the second review: run-case.sh CLASS FOLDER. Exits with 1 if the rule was
# broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves out the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
folder=$(cd "$2" && pwd)
repository=$(cd "$here/../.." && pwd)
if [ ! -d "$here/target/classes" ]; then
  echo "run review/build-2.sh first"
  exit 2
fi
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout 118 java -Xmx256m -cp "$here/target/classes" "$1" "$repository" "$folder" "$temporary"
code=$?
case $code in
  0 | 1) exit $code ;;
  *) exit 2 ;;
esac
