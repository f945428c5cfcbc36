import type { EngineOrder } from '@dandelionlane/core';

/** Order to carry a replica. */
type LoadOrder = Extract<EngineOrder, { kind: 'load' }>;

export default LoadOrder;
