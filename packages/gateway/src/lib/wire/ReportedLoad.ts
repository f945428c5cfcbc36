/** Load of a target as it tells it with an answer. */
export default interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}
