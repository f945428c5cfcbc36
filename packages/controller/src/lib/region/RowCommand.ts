import type { PlacementCommand } from '@dandelionlane/placement';

/** Commands of a plan that change rows. `unload` is an order only. */
type RowCommand = Exclude<PlacementCommand, { kind: 'unload' }>;

export default RowCommand;
