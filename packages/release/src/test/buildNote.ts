import { ReleaseNote } from '@dandelionlane/core';
import type { z } from 'zod';

/** A change with a note; what is left out is empty. */
export default function buildNote(note: Partial<z.input<typeof ReleaseNote>>) {
  return { kind: 'note' as const, note: ReleaseNote.parse({ writtenAgainst: 0, ...note }) };
}
