#!/usr/bin/env bash
cd "$(dirname "$0")/../.." || exit 2
exec timeout --kill-after=5 110 node review/5/case.js
