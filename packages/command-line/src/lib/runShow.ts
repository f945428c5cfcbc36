import type { ResultAsync } from 'neverthrow';
import type CommandContext from './CommandContext.js';
import type Failure from './Failure.js';
import formatRelease from './formatRelease.js';

/** `show`: prints the release state. */
export default function runShow(
  { client, terminal, options }: CommandContext,
): ResultAsync<void, Failure> {
  return client.readRelease().map((state) => (
    terminal.writeLine(options.json ? JSON.stringify(state) : formatRelease(state))
  ));
}
