/** Bound where the settings do not state the memory of the machine: it fits one of 350 MB. */
const DEFAULT_BYTES = 48 * 1_024 * 1_024;

/** Resident memory of an entry that holds no request, in bytes: 73 to 105 MB were measured at the start. */
const BASE_BYTES = 105_000_000;

/**
 * Share of the rest of the memory, which gives a machine of 350 MB its former bound. A body takes twice its
 * size while it is put together, and the chunks that were copied from are freed some time later.
 */
const SHARE = 1 / 5;

/** A single request has to be served on any machine: the largest answer is 16 MiB, with a body of 4 MiB. */
const MINIMUM_BYTES = 20 * 1_024 * 1_024;

/**
 * Bytes that bodies, answers and unread events may hold together.
 * @param memoryBytes Memory that the process may use; null where the settings do not say.
 */
export default function deriveMemoryBudget(memoryBytes: number | null): number {
  return memoryBytes === null
    ? DEFAULT_BYTES : Math.max(MINIMUM_BYTES, Math.floor((memoryBytes - BASE_BYTES) * SHARE));
}
