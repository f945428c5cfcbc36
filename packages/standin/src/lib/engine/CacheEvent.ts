/** An event of the prefix cache. `prefix` names the cached text by its hash. */
export default interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly prefix: number;
}
