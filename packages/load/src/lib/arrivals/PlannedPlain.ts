/** A plain call that may be repeated. */
export default interface PlannedPlain {
  readonly kind: 'plain';
  /** Text that the answer must carry. */
  readonly note: string;
  readonly delayMilliseconds: number;
}
