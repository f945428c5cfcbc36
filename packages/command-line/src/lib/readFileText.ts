import { readFile } from 'node:fs/promises';
import { ResultAsync } from 'neverthrow';
import EXIT_CODES from './EXIT_CODES.js';
import type Failure from './Failure.js';

/** Reads a file named by the arguments or settings. A file that cannot be read is a `usage` failure. */
export default function readFileText(fileName: string): ResultAsync<string, Failure> {
  return ResultAsync.fromPromise(readFile(fileName, 'utf8'), (cause) => ({
    exitCode: EXIT_CODES.usage,
    message: `${fileName}: cannot be read, ${String(cause)}`,
  }));
}
