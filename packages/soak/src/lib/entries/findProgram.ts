import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

const OWN_ROOT = fileURLToPath(new URL('../../../../../', import.meta.url));

/** The program of an entry in a built checkout; null stands for the one that the soak is part of. */
export default function findProgram(build: string | null): string {
  return join(build ?? OWN_ROOT, 'platform', 'dist', 'main.js');
}
