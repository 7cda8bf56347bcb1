#!/bin/bash
# Builds what the scripts of the second review start besides the programs of the deploy
# file: the harness with its stand-ins for workers, clients and the operator. It uses only
# the standard library.
set -e
cd "$(dirname "$0")/harness"
GOWORK=off go build -o ../../build/review-2/harness .
