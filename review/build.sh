#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. They use only the standard
# library.
set -e
cd "$(dirname "$0")"
GOWORK=off go build -o build/standin ./standin
