import { existsSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

const EXIT_NOT_BUILT = 1;

/**
 * Starts a command from its build, or says that there is none.
 *
 * @param {string} name the command, as callers type it
 * @param {URL} program its compiled program
 */
export default async function launch(name, program) {
  if (!existsSync(fileURLToPath(program))) {
    process.stderr.write(`${name}: there is no build yet, run "npm run build" first\n`);
    process.exitCode = EXIT_NOT_BUILT;
    return;
  }
  await import(program.href);
}
