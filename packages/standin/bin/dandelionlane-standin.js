#!/usr/bin/env node
import launch from '@dandelionlane/launcher';

await launch('dandelionlane-standin', new URL('../dist/dandelionlane-standin.js', import.meta.url));
