#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. Needs the packages that the build of the deploy file installs.
set -eu
cd "$(dirname "$0")/.."
npx --no-install tsc --build
