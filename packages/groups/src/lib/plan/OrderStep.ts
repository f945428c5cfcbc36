import type GroupStep from './GroupStep.js';

/** A step that sends an order to a worker. */
type OrderStep = Extract<GroupStep, { kind: 'order' }>;

export default OrderStep;
