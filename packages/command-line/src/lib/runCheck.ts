import type { ResultAsync } from 'neverthrow';
import type Failure from './Failure.js';
import readDraft from './readDraft.js';
import type Terminal from './Terminal.js';

/** `check`: checks a release note file without contacting any entry. */
export default function runCheck(terminal: Terminal, fileName: string): ResultAsync<void, Failure> {
  return readDraft(fileName).map(() => terminal.writeLine(`${fileName}: no faults`));
}
