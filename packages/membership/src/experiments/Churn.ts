/** Cost of one entry while many others fail or restart together. */
export default interface Churn {
  readonly entries: number;
  readonly changed: number;
  /** The one seed that restarted entries ask, or entries that are nobody's seed. */
  readonly sample: 'seed' | 'others';
  readonly event: 'crash' | 'restart';
  /** Mean over the sampled entries in the worst second. */
  readonly peakBytesPerSecond: number;
  /** Mean over the sampled entries and the whole time. */
  readonly meanBytesPerSecond: number;
  readonly seconds: number;
}
