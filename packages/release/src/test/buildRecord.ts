import { type ReleaseChange, ReleaseRecord } from '@dandelionlane/core';

/** Builds a record of the log with a nonce derived from its sequence. */
export default function buildRecord(sequence: number, change: ReleaseChange): ReleaseRecord {
  return ReleaseRecord.parse({
    sequence, nonce: `nonce-${String(sequence).padStart(6, '0')}`, publishedAt: '2026-01-01T00:00:00Z', change,
  });
}
