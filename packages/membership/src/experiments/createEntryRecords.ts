import type { EntryRecord } from '@dandelionlane/core';
import createEntryRecord from './createEntryRecord.js';

const FIRST_INCARNATION = 1;

/** Creates the records of `count` entries, spread evenly over regions. */
export default function createEntryRecords(count: number, regions: number): readonly EntryRecord[] {
  return Array.from({ length: count }, (_, number) => (
    createEntryRecord(number % regions, Math.floor(number / regions), FIRST_INCARNATION)
  ));
}
