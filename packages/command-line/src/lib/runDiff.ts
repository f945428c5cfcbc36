import type { ReleaseState } from '@dandelionlane/core';
import {
  diffReleaseNote, formatDifferences, type ReleaseNoteDraft, validateChange,
} from '@dandelionlane/release';
import type { ResultAsync } from 'neverthrow';
import type CommandContext from './CommandContext.js';
import type Failure from './Failure.js';
import readDraft from './readDraft.js';

/** Reason why publishing would be refused now; undefined if it would be accepted. */
function findRefusal(state: ReleaseState, draft: ReleaseNoteDraft): string | undefined {
  const note = { ...draft, writtenAgainst: draft.writtenAgainst ?? state.sequence };
  return validateChange(state, { kind: 'note', note })
    .match(() => undefined, ({ kind, message }) => `${kind}: ${message}`);
}

function print({ terminal, options }: CommandContext, state: ReleaseState, draft: ReleaseNoteDraft): void {
  const differences = diffReleaseNote(state, draft);
  const refusal = findRefusal(state, draft);
  if (options.json) {
    terminal.writeLine(JSON.stringify({ sequence: state.sequence, differences, refusal }));
    return;
  }
  terminal.writeLine(`compared with change ${state.sequence}`);
  terminal.writeLine(formatDifferences(differences));
  if (refusal !== undefined) {
    terminal.writeLine(`publishing would be refused now, ${refusal}`);
  }
}

/** `diff`: prints what a release note would change, and whether it would be refused now. */
export default function runDiff(context: CommandContext, fileName: string): ResultAsync<void, Failure> {
  return readDraft(fileName).andThen((draft) => (
    context.client.readRelease().map((state) => print(context, state, draft))
  ));
}
