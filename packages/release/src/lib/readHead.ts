import {
  parseWith, ReleaseSequence, type ServingError, type TableStore,
} from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import { z } from 'zod';
import ABSENT_ROW_VERSION from './ABSENT_ROW_VERSION.js';
import HEAD_ROW from './HEAD_ROW.js';
import ReleaseHead from './ReleaseHead.js';

/** Value of the head row; null if the row is absent, which means an empty log. */
const HeadValue = z.object({ sequence: ReleaseSequence }).nullable();

/** Reads the head row. */
export default function readHead(store: TableStore): ResultAsync<ReleaseHead, ServingError> {
  return store.read([HEAD_ROW]).andThen(([row]) => (
    parseWith(HeadValue, row?.value ?? null, 'platform-answer-invalid').andThen((value) => (
      parseWith(
        ReleaseHead,
        { sequence: value?.sequence ?? 0, version: row?.version ?? ABSENT_ROW_VERSION },
        'platform-answer-invalid',
      )
    ))
  ));
}
