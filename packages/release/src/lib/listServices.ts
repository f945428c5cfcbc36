import type { ReleaseNote, ServiceId } from '@dandelionlane/core';

/** Lists the services that a note names, in the order of the note, including duplicates. */
export default function listServices(note: Omit<ReleaseNote, 'writtenAgainst'>): readonly ServiceId[] {
  return [
    ...note.add.map(({ service }) => service),
    ...note.change.map(({ service }) => service),
    ...note.withdraw,
  ];
}
