#!/usr/bin/env node
import launch from '@dandelionlane/launcher';

await launch('dandelionlane-soak', new URL('../dist/dandelionlane-soak.js', import.meta.url));
