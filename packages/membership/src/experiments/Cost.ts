import type Variant from './Variant.js';

/** Cost of one entry in a stable group. Messages and bytes include both directions. */
export default interface Cost {
  readonly variant: Variant;
  readonly entries: number;
  readonly regions: number;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly microsecondsPerSecond: number;
  readonly storeReadsPerSecond: number;
}
