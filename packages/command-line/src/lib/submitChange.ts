import type { ReleaseChange, ReleaseSequence } from '@dandelionlane/core';
import { errAsync, ok, ResultAsync } from 'neverthrow';
import type CommandContext from './CommandContext.js';
import EXIT_CODES from './EXIT_CODES.js';
import type Failure from './Failure.js';
import waitUntilInForce from './waitUntilInForce.js';

/** Adds advice on how to find out the outcome if the answer was lost. */
function addLostAnswerAdvice(failure: Failure, lostAnswerAdvice: string): Failure {
  return failure.exitCode === EXIT_CODES.outcomeUnknown
    ? { ...failure, message: `outcome unknown: the change may have been accepted\n${failure.message}\n${lostAnswerAdvice}` }
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
  lostAnswerAdvice: string,
): ResultAsync<void, Failure> {
  const { terminal, client, options } = context;
  return client.sendChange(change)
    .orElse((failure) => errAsync(addLostAnswerAdvice(failure, lostAnswerAdvice)))
    .andThen((sequence) => {
      if (!options.wait) {
        return ok(report(context, sequence, false));
      }
      return new ResultAsync(waitUntilInForce(terminal, client, sequence, options.timeout))
        .map(() => report(context, sequence, true));
    });
}
