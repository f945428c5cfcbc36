import type { OutOfService } from '@dandelionlane/core';
import type { ResultAsync } from 'neverthrow';
import type CommandContext from './CommandContext.js';
import type Failure from './Failure.js';
import submitChange from './submitChange.js';

const LOST_ANSWER_ADVICE = 'To find out, run `dandelionlane show`. The command is idempotent: repeat it if in doubt.';

/** `take-out` and `bring-back`. Both are idempotent. */
export default function runOutOfService(
  context: CommandContext,
  kind: 'take-out' | 'bring-back',
  subject: OutOfService,
): ResultAsync<void, Failure> {
  return submitChange(context, { kind, subject }, LOST_ANSWER_ADVICE);
}
