#!/bin/sh
# Builds the stand-ins and checks of the second review's scripts. The edge program is built by the command of
# deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-2/cases-2 ./review/cases-2
