import createLoad from './createLoad.js';
import DESIGN_SIZE from './DESIGN_SIZE.js';
import type RoleLoad from './RoleLoad.js';

/** A controller that holds no lease: it looks at the lease row. */
export default function workOutStandby(): RoleLoad {
  return {
    role: 'controller, standby',
    loads: [createLoad('lease row, read four times a term', {
      messagesPerSecond: 2 * DESIGN_SIZE.leaseStepsPerSecond,
      storeReadsPerSecond: DESIGN_SIZE.leaseStepsPerSecond,
    })],
  };
}
