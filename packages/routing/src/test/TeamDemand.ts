/** What one team wants, and its weight. */
export default interface TeamDemand {
  readonly team: string;
  readonly demand: number;
  readonly weight: number;
}
