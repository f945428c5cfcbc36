import type { PlacementCommand } from '@dandelionlane/placement';

/** Commands that change rows; `unload` only sends an order. */
type RowCommand = Exclude<PlacementCommand, { kind: 'unload' }>;

export default RowCommand;
