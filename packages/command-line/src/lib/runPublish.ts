import type { ReleaseNote } from '@dandelionlane/core';
import type { ReleaseNoteDraft } from '@dandelionlane/release';
import { okAsync, type ResultAsync } from 'neverthrow';
import type CommandContext from './CommandContext.js';
import type Failure from './Failure.js';
import readDraft from './readDraft.js';
import submitChange from './submitChange.js';

/** Sets `writtenAgainst` to the current sequence if the file does not state it. */
function fillInWrittenAgainst(
  { client, terminal }: CommandContext,
  draft: ReleaseNoteDraft,
): ResultAsync<ReleaseNote, Failure> {
  const { writtenAgainst } = draft;
  if (writtenAgainst !== undefined) {
    return okAsync({ ...draft, writtenAgainst });
  }
  return client.readRelease().map(({ sequence }) => {
    terminal.writeError(`the note does not say what it was written against; taking change ${sequence}, the present one`);
    return { ...draft, writtenAgainst: sequence };
  });
}

function formatLostAnswerAdvice(fileName: string, { writtenAgainst }: ReleaseNote): string {
  return [
    `To find out, run \`dandelionlane diff ${fileName}\`: no differences mean that the note is in force.`,
    `To publish it again without risk, keep "writtenAgainst": ${writtenAgainst} in the file: a note that was`,
    'accepted the first time is then refused as a conflict with itself.',
  ].join('\n');
}

/** `publish`: submits a release note. */
export default function runPublish(context: CommandContext, fileName: string): ResultAsync<void, Failure> {
  return readDraft(fileName)
    .andThen((draft) => fillInWrittenAgainst(context, draft))
    .andThen((note) => (
      submitChange(context, { kind: 'note', note }, formatLostAnswerAdvice(fileName, note))
    ));
}
