/** The number of requests that one team wants in flight, and its weight. */
export default interface TeamDemand {
  readonly team: string;
  readonly demand: number;
  readonly weight: number;
}
