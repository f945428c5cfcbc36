/** Public surface of the package. */
export { default as ProcessGroup } from './lib/ProcessGroup.js';
export { default as programPath } from './lib/programPath.js';
export { default as runCommand } from './lib/runCommand.js';
export { type default as CommandResult } from './lib/CommandResult.js';
export { type default as RunningProcess } from './lib/RunningProcess.js';
export { default as startSystem } from './lib/startSystem.js';
export { type default as RunningSystem } from './lib/RunningSystem.js';
export { type default as SystemPlan } from './lib/SystemPlan.js';
