import { readFileSync } from 'node:fs';
import { ServingError } from '@dandelionlane/core';
import { Result } from 'neverthrow';
import type { ZodType } from 'zod';
import parseSettings from './parseSettings.js';

/**
 * Reads a settings file and checks it against a schema. Reads synchronously, so use it only
 * at start-up.
 *
 * Errors: `settings-invalid` if the file cannot be read or is invalid.
 */
export default function readSettings<T>(fileName: string, schema: ZodType<T>): Result<T, ServingError> {
  const read = Result.fromThrowable(
    // eslint-disable-next-line n/no-sync -- nothing else runs before the settings are known
    () => readFileSync(fileName, 'utf8'),
    (cause) => new ServingError(`${fileName}: cannot be read, ${String(cause)}`, { kind: 'settings-invalid' }),
  );
  return read().andThen((text) => parseSettings(text, fileName, schema, 'settings-invalid'));
}
