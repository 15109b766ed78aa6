#!/usr/bin/env bash
# A request makes each worker that begins to run it go dark. It comes again and again.
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/drive ] || [ ! -x target/dandelionrelay ]; then
  echo 'run the build of the deploy file and review/build.sh first' >&2
  exit 2
fi
exec review/bin/drive dark review/4
