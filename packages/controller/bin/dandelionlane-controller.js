#!/usr/bin/env node
import launch from '@dandelionlane/launcher';

await launch('dandelionlane-controller', new URL('../dist/dandelionlane-controller.js', import.meta.url));
