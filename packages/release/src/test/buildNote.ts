import { ReleaseNote } from '@dandelionlane/core';
import type { z } from 'zod';

/** Builds a change with a note. Omitted fields are empty. */
export default function buildNote(note: Partial<z.input<typeof ReleaseNote>>) {
  return { kind: 'note' as const, note: ReleaseNote.parse({ writtenAgainst: 0, ...note }) };
}
