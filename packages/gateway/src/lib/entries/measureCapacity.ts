/** Processor time of a request at its entry, in core-seconds, with its share of the entry's other work. */
const CORE_SECONDS_PER_REQUEST = 0.01;

/** Bytes that a request and its answer take on the link of an entry, in and out. */
const LINK_BYTES_PER_REQUEST = 14_000;

/** Memory of an entry without requests, in bytes: 73 to 105 MB were measured at the start. */
const IDLE_MEMORY_BYTES = 110_000_000;

/** Memory that a request holds while it runs, for about a second, in bytes. */
const MEMORY_BYTES_PER_REQUEST = 128_000;

/** Resources of an entry's machine; null where they are not known. */
interface EntryResources {
  readonly processorCores: number;
  readonly memoryBytes: number | null;
  readonly linkBytesPerSecond: number | null;
}

/** Requests a second that an entry can take, by the scarcest resource of its machine. */
export default function measureCapacity(
  { processorCores, memoryBytes, linkBytesPerSecond }: EntryResources,
): number {
  return Math.max(1, Math.round(Math.min(
    processorCores / CORE_SECONDS_PER_REQUEST,
    (linkBytesPerSecond ?? Number.POSITIVE_INFINITY) / LINK_BYTES_PER_REQUEST,
    ((memoryBytes ?? Number.POSITIVE_INFINITY) - IDLE_MEMORY_BYTES) / MEMORY_BYTES_PER_REQUEST,
  )));
}
