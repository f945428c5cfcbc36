import {
  access, mkdtemp, rm, writeFile,
} from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { ROOT } from './constants.js';

/** Runs a case: a temporary folder, a record, and the end of all processes. Exits with 0, 1 or 2. */
export default async function runCase(folder, play) {
  const directory = await mkdtemp(join(tmpdir(), 'review-'));
  const lines = [];
  const startedAt = performance.now();
  const record = (text) => {
    const line = `${((performance.now() - startedAt) / 1_000).toFixed(3)} s  ${text}`;
    lines.push(line);
    process.stdout.write(`${line}\n`);
  };
  const entries = [];
  let code = 2;
  const guard = setTimeout(() => {
    record('the case took too long');
    entries.forEach(({ child }) => child?.kill('SIGKILL'));
    writeFile(join(folder, 'record.txt'), `${lines.join('\n')}\n`).finally(() => {
      // eslint-disable-next-line n/no-process-exit -- what hangs holds sockets open
      process.exit(2);
    });
  }, 115_000);
  try {
    await access(join(ROOT, 'target/start.cjs'));
    const isBroken = await play({
      directory,
      record,
      trouble: process.env.TROUBLE !== '0',
      addEntry: (entry) => {
        entries.push(entry);
        return entry;
      },
    });
    code = isBroken ? 1 : 0;
  } catch (error) {
    record(`could not run: ${error.stack}`);
  } finally {
    clearTimeout(guard);
    await Promise.all(entries.map((entry) => entry.kill()));
    record(`exit ${code}`);
    await writeFile(join(folder, 'record.txt'), `${lines.join('\n')}\n`);
    if (process.env.KEEP === undefined) {
      await rm(directory, { recursive: true, force: true });
    } else {
      process.stdout.write(`${directory}\n`);
    }
    // eslint-disable-next-line n/no-process-exit -- stand-ins may hold sockets open
    process.exit(code);
  }
}
