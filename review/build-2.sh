#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into bin/, beside the programs of the deploy file. It needs no network.
cd "$(dirname "$0")/rig2" || exit 2
mkdir -p ../../bin && GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 exec go build -buildvcs=false -o ../../bin/review2 .
