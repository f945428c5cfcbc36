/** What one mechanism costs one process of a role. */
export default interface Load {
  readonly mechanism: string;
  readonly messagesPerSecond: number;
  readonly bytesPerSecond: number;
  readonly microsecondsPerSecond: number;
  readonly memoryBytes: number;
  readonly storeReadsPerSecond: number;
  readonly storeWritesPerSecond: number;
}
