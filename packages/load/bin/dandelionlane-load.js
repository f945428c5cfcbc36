#!/usr/bin/env node
import launch from '@dandelionlane/launcher';

await launch('dandelionlane-load', new URL('../dist/dandelionlane-load.js', import.meta.url));
