/** Public surface of the package. */
export { default as expectedAnswer } from './lib/answers/expectedAnswer.js';
export { default as promptOf } from './lib/answers/promptOf.js';
export { default as JournalDocument } from './lib/journal/JournalDocument.js';
export { default as JournalRun } from './lib/journal/JournalRun.js';
export { default as mergeJournals } from './lib/journal/mergeJournals.js';
export { default as PlatformFault } from './lib/platform/PlatformFault.js';
export { type default as PlatformHandle } from './lib/platform/PlatformHandle.js';
export { default as PlatformSettings } from './lib/platform/PlatformSettings.js';
export { default as startPlatform } from './lib/platform/startPlatform.js';
export { default as readStandInSettings } from './lib/readStandInSettings.js';
export { default as startVMs } from './lib/vms/startVMs.js';
export { default as VMFault } from './lib/vms/VMFault.js';
export { default as VMSettings } from './lib/vms/VMSettings.js';
export { type default as VMsHandle } from './lib/vms/VMsHandle.js';
export { default as VMsSettings } from './lib/vms/VMsSettings.js';
export { default as VMTiming } from './lib/vms/VMTiming.js';
