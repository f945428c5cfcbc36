import { ReleaseRecord } from '@dandelionlane/core';
import createDefinition from './createDefinition.js';

/** A record of the release log that changes one service. */
export default function createChangeRecord(sequence: number): ReleaseRecord {
  return ReleaseRecord.parse({
    sequence,
    nonce: 'd2hhdGV2ZXIxMjM0',
    publishedAt: '2026-12-03T23:00:00.000Z',
    change: {
      kind: 'note',
      note: {
        writtenAgainst: sequence - 1, summary: 'New version of one service.', change: [createDefinition(1)],
      },
    },
  });
}
