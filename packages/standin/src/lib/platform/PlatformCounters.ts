/** Answer of `GET /counters`: calls of the table service since the start. */
export default interface PlatformCounters {
  reads: number;
  writes: number;
  scans: number;
}
