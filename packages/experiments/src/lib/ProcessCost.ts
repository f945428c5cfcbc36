/** What one process costs without requests. */
export default interface ProcessCost {
  readonly name: string;
  /** Share of one core. */
  readonly cores: number;
  readonly residentMebibytes: number;
}
