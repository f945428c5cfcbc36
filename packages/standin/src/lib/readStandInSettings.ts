import { readFile } from 'node:fs/promises';
import { parseWith, ServingError } from '@dandelionlane/core';
import { Result, ResultAsync } from 'neverthrow';
import type { ZodType } from 'zod';

const parseJSON = Result.fromThrowable(
  (text: string): unknown => JSON.parse(text),
  (cause) => new ServingError('settings are not JSON', { kind: 'settings-invalid', cause }),
);

/** Reads a settings file and checks it. Error: `settings-invalid`. */
export default function readStandInSettings<Output>(
  file: string,
  schema: ZodType<Output>,
): ResultAsync<Output, ServingError> {
  return ResultAsync.fromPromise(
    readFile(file, 'utf8'),
    (cause) => new ServingError(`cannot read ${file}`, { kind: 'settings-invalid', cause }),
  )
    .andThen((text) => parseJSON(text))
    .andThen((data) => parseWith(schema, data, 'settings-invalid'));
}
