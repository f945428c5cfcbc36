import { ReleaseState } from '@dandelionlane/core';
import { applyRecord } from '@dandelionlane/release';
import { pack, unpack } from 'msgpackr';
import createChangeRecord from '../createChangeRecord.js';
import createReleaseState from '../createReleaseState.js';
import type MeasuredItem from '../MeasuredItem.js';
import measureMemory from '../measureMemory.js';
import timeOperation from '../timeOperation.js';

const FEW = 1_000;
const MANY = 3_000;
const STATES = 4;

/** Slope of a figure between two sizes. */
function slope(measure: (services: number) => number): number {
  return (measure(MANY) - measure(FEW)) / (MANY - FEW);
}

function timeApply(services: number): number {
  const state = createReleaseState(services);
  const record = createChangeRecord(services + 1);
  return timeOperation(() => applyRecord(state, record));
}

function timeCheck(services: number): number {
  const encoded = pack(createReleaseState(services));
  return timeOperation(() => ReleaseState.parse(unpack(encoded)));
}

/** The release state as services grow, and one record of the log. */
const releaseStateItem: MeasuredItem = {
  name: 'Release state',
  async measure() {
    return [
      { name: 'releaseState.bytesPerService', value: slope((services) => pack(createReleaseState(services)).length), unit: 'B' },
      { name: 'releaseState.checkPerService', value: slope(timeCheck), unit: 'us' },
      { name: 'releaseState.applyPerService', value: slope(timeApply), unit: 'us' },
      { name: 'releaseState.applyAtFew', value: timeApply(FEW), unit: 'us' },
      {
        name: 'releaseState.memoryPerService',
        value: measureMemory(STATES, () => (
          ReleaseState.parse(JSON.parse(JSON.stringify(createReleaseState(MANY))))
        )) / MANY,
        unit: 'B',
      },
      { name: 'releaseRecord.bytes', value: pack(createChangeRecord(1)).length, unit: 'B' },
    ];
  },
};

export default releaseStateItem;
