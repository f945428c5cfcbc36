/** Public surface of the package. */
export { default as EntrySettings } from './lib/settings/EntrySettings.js';
export { type default as RunningEntry } from './lib/RunningEntry.js';
export { default as startEntry } from './lib/startEntry.js';
