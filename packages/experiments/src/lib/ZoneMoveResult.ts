import type { LoadReport } from '@dandelionlane/load';

/** What a run of a zone move showed. */
export default interface ZoneMoveResult {
  readonly report: LoadReport;
  /** Runs that began in the zone later than 3 s after the take-out was accepted and before the return. */
  readonly lateRunsInZone: number;
  /** Targets that crashed because they got more than they bear in cold start. */
  readonly fellOver: number;
  /** Exit codes of the take-out and of the bring-back command. */
  readonly commandCodes: readonly (number | null)[];
}
