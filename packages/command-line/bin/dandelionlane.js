#!/usr/bin/env node
import launch from '@dandelionlane/launcher';

await launch('dandelionlane', new URL('../dist/dandelionlane.js', import.meta.url));
