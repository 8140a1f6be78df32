#!/bin/sh
# Builds the program that holds the scripts' stand-ins for clients, servers and the platform.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -buildvcs=false -o review/bin/cases ./review/cases
