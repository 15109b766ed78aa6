#!/usr/bin/env bash
# Builds the stand-ins and the driver of the cases, which use the project's own stand-in of
# the store. The build tag keeps them out of the default build and test run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o review/bin/drive ./review/drive
