import { readSettings } from '@dandelionlane/settings';
import {
  errAsync, ok, okAsync, type Result, type ResultAsync,
} from 'neverthrow';
import type CommandOptions from './CommandOptions.js';
import CommandSettings from './CommandSettings.js';
import type ConnectionOptions from './ConnectionOptions.js';
import EXIT_CODES from './EXIT_CODES.js';
import type Failure from './Failure.js';
import readFileText from './readFileText.js';

/** Characters that are valid in an HTTP header. */
const TOKEN_PATTERN = /^[\x21-\x7e]+$/;

function createUsageFailure(message: string): Failure {
  return { exitCode: EXIT_CODES.usage, message };
}

function readCommandSettings(fileName: string | undefined): Result<Partial<CommandSettings>, Failure> {
  return fileName === undefined
    ? ok({})
    : readSettings(fileName, CommandSettings).mapErr(({ message }) => createUsageFailure(message));
}

function readToken(fileName: string | undefined): ResultAsync<string | undefined, Failure> {
  if (fileName === undefined) {
    return okAsync(undefined);
  }
  return readFileText(fileName)
    .map((text) => text.trim())
    .andThen((token) => (
      TOKEN_PATTERN.test(token)
        ? okAsync(token)
        : errAsync(createUsageFailure(`${fileName}: expected one token of printable characters`))
    ));
}

/** Determines the entries and the token. Options take precedence over the settings file. */
export default function resolveConnectionOptions(
  options: CommandOptions,
): ResultAsync<ConnectionOptions, Failure> {
  return readCommandSettings(options.settings).asyncAndThen((settings) => {
    const entries = options.entry ?? settings.entries;
    return entries === undefined
      ? errAsync(createUsageFailure('no entry is known: give --entry HOST:PORT or --settings FILE'))
      : readToken(options['token-file'] ?? settings.tokenFile).map((token) => ({ entries, token }));
  });
}
