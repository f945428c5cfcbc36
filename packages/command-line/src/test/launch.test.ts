import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { text } from 'node:stream/consumers';
import { fileURLToPath, pathToFileURL } from 'node:url';
import { expect, test } from 'vitest';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const LAUNCH = new URL('../../../launcher/src/launch.js', import.meta.url).href;

const COMMANDS = [
  'dandelionlane', 'dandelionlane-entry', 'dandelionlane-controller', 'dandelionlane-load', 'dandelionlane-soak',
  'dandelionlane-standin',
];

/** Runs a program until it exits. */
async function run(program: string, programArguments: readonly string[]) {
  const child = spawn(program, programArguments, { cwd: ROOT });
  const [stdout, stderr, [status]] = await Promise.all([
    text(child.stdout), text(child.stderr), once(child, 'exit'),
  ]);
  return { status: status as number, stdout, stderr };
}

test('command without a build prints an error', async () => {
  const program = pathToFileURL(join(tmpdir(), 'there-is-no-such-build.js')).href;
  const caller = join(await mkdtemp(join(tmpdir(), 'launch-')), 'caller.mjs');
  await writeFile(caller, `import launch from '${LAUNCH}';\nawait launch('command', new URL('${program}'));\n`);
  expect(await run(process.execPath, [caller])).toEqual({
    status: 1, stdout: '', stderr: 'command: there is no build yet, run "npm run build" first\n',
  });
});

test.each(COMMANDS)('npx runs %s', async (command) => {
  const { status, stdout, stderr } = await run('npx', ['--no-install', command, '--help']);
  expect(stderr).toBe('');
  expect(status).toBe(0);
  expect(stdout).toContain(command);
});
