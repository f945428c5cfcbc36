import { Hono } from 'hono';
import type EntryRegistry from './EntryRegistry.js';

/** Limit of the platform on addresses in one answer. */
const MAXIMUM_ADDRESSES = 64;

/** Time for which a caller caches an answer, in s: below the platform's limit, as it may list a dead one. */
const CACHE_SECONDS = 2;

/** Path and body format of the directory. */
interface DirectoryFormat {
  readonly path: string;
  /** Encodes the body of an answer with addresses, which its caller caches for some time, in s. */
  readonly encode: (addresses: readonly string[], keepSeconds: number) => unknown;
}

/** Serves the addresses of the entries that callers may connect to. */
export default function createDirectoryApplication(registry: EntryRegistry, format: DirectoryFormat): Hono {
  const application = new Hono();
  application.get(format.path, (context) => {
    const addresses = registry.readyAddresses(MAXIMUM_ADDRESSES);
    if (addresses.length === 0) {
      return context.json({ detail: 'no entry is ready' }, 503);
    }
    return context.json(format.encode(addresses, CACHE_SECONDS) as object);
  });
  return application;
}
