import { dirname, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository, in which the commands of the deploy file run. */
export const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

export const HOST = '127.0.0.1';

export const ZONE = 'zone-a';
