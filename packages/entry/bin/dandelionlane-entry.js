#!/usr/bin/env node
import launch from '@dandelionlane/launcher';

await launch('dandelionlane-entry', new URL('../dist/dandelionlane-entry.js', import.meta.url));
