import { Hono } from 'hono';
import type EntryRegistry from './EntryRegistry.js';

/** Most addresses in one answer (platform's limit). */
const MAXIMUM_ADDRESSES = 64;

/** Time for which a caller keeps an answer, in s: below the platform's most, as a lost entry stays in it. */
const KEEP_SECONDS = 2;

/** Paths and body of the directory. */
interface DirectoryFormat {
  readonly path: string;
  /** Body of an answer that names addresses, which its caller keeps for some time, in s. */
  readonly encode: (addresses: readonly string[], keepSeconds: number) => unknown;
}

/** Tells callers which entries to connect to. */
export default function createDirectoryApplication(registry: EntryRegistry, format: DirectoryFormat): Hono {
  const application = new Hono();
  application.get(format.path, (context) => {
    const addresses = registry.readyAddresses().slice(0, MAXIMUM_ADDRESSES);
    if (addresses.length === 0) {
      return context.json({ detail: 'no entry is ready' }, 503);
    }
    return context.json(format.encode(addresses, KEEP_SECONDS) as object);
  });
  return application;
}
