import type { ReleaseChange, ReleaseSequence } from '@dandelionlane/core';
import { errAsync, ok, ResultAsync } from 'neverthrow';
import type CommandContext from './CommandContext.js';
import EXIT_CODES from './EXIT_CODES.js';
import type Failure from './Failure.js';
import waitUntilInForce from './waitUntilInForce.js';

/** Adds how to find out, where the answer was lost. */
function explain(failure: Failure, howToFindOut: string): Failure {
  return failure.exitCode === EXIT_CODES.outcomeUnknown
    ? { ...failure, message: `outcome unknown: the change may have been accepted\n${failure.message}\n${howToFindOut}` }
    : failure;
}

function report({ terminal, options }: CommandContext, sequence: ReleaseSequence, isInForce: boolean): void {
  if (options.json) {
    terminal.writeLine(JSON.stringify({ sequence, isInForce }));
  } else {
    terminal.writeLine(isInForce
      ? `change ${sequence} is in force at every entry`
      : `accepted as change ${sequence}`);
  }
}

/** Sends a change and, with `--wait`, waits until it is in force everywhere. */
export default function submitChange(
  context: CommandContext,
  change: ReleaseChange,
  howToFindOut: string,
): ResultAsync<void, Failure> {
  const { terminal, client, options } = context;
  return client.sendChange(change)
    .orElse((failure) => errAsync(explain(failure, howToFindOut)))
    .andThen((sequence) => {
      if (!options.wait) {
        return ok(report(context, sequence, false));
      }
      return new ResultAsync(waitUntilInForce(terminal, client, sequence, options.timeout))
        .map(() => report(context, sequence, true));
    });
}
