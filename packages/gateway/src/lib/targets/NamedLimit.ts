/** Limit that an instance of a target has named. */
export default interface NamedLimit {
  /** Start of the instance; null where targets do not report it. */
  readonly bornAt: number | null;
  /** Requests per second that it takes from all entries together; null once it takes any number. */
  readonly requestsPerSecond: number | null;
}
