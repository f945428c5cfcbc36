import type ModelTraffic from './ModelTraffic.js';

/** Traffic of a model without streams. */
const NO_TRAFFIC: ModelTraffic = {
  onTimeWaiting: 0, lateWaiting: 0, lateRunning: 0, arrivalsPerSecond: 0,
};

export default NO_TRAFFIC;
