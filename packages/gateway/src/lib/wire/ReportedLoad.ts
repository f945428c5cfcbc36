/** Load that a target reports with an answer. */
export default interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}
