import type { ResultAsync } from 'neverthrow';
import type CommandContext from './CommandContext.js';
import type Failure from './Failure.js';
import formatStatus from './formatStatus.js';

/** `status`: prints entries and replicas as the answering entry sees them. */
export default function runStatus(
  { client, terminal, options }: CommandContext,
): ResultAsync<void, Failure> {
  return client.readStatus().map((status) => (
    terminal.writeLine(options.json ? JSON.stringify(status) : formatStatus(status))
  ));
}
