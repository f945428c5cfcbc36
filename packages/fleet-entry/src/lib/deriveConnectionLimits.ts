import type ConnectionLimits from './ConnectionLimits.js';

/**
 * Shares of the descriptors of a process. A quarter is left for connections to targets, to the store and to
 * other entries, and for files. Every other entry may have a link, and passes requests on beside it.
 */
const SHARES: Readonly<Record<keyof ConnectionLimits, number>> = {
  callers: 3 / 8,
  links: 1 / 4,
  directory: 1 / 16,
  readiness: 1 / 32,
  metrics: 1 / 32,
};

/** Derives the limits on connections from the descriptors of the process; null where these are unknown. */
export default function deriveConnectionLimits(maximumDescriptors: number | null): ConnectionLimits {
  const limitOf = (name: keyof ConnectionLimits): number | null => (
    maximumDescriptors === null ? null : Math.max(1, Math.floor(maximumDescriptors * SHARES[name]))
  );
  return {
    callers: limitOf('callers'),
    links: limitOf('links'),
    directory: limitOf('directory'),
    readiness: limitOf('readiness'),
    metrics: limitOf('metrics'),
  };
}
