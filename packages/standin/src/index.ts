/** Public surface of the package. */
export { type default as PlatformHandle } from './lib/platform/PlatformHandle.js';
export { default as PlatformFault } from './lib/platform/PlatformFault.js';
export { default as PlatformSettings } from './lib/platform/PlatformSettings.js';
export { default as startPlatform } from './lib/platform/startPlatform.js';
