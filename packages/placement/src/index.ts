/** Public surface of the package. */
export { default as DEFAULT_PLACEMENT_LIMITS } from './lib/DEFAULT_PLACEMENT_LIMITS.js';
export type { default as DrainReason } from './lib/DrainReason.js';
export type { default as PlacementCommand } from './lib/PlacementCommand.js';
export type { default as PlacementInput } from './lib/PlacementInput.js';
export type { default as PlacementLimits } from './lib/PlacementLimits.js';
export type { default as PlaceReason } from './lib/PlaceReason.js';
export { default as planPlacement } from './lib/planPlacement.js';
export type { default as RebuildReason } from './lib/RebuildReason.js';
export type { default as ReplicaObservation } from './lib/ReplicaObservation.js';
export type { default as StopReason } from './lib/StopReason.js';
export type { default as VMObservation } from './lib/VMObservation.js';
