import type Work from './Work.js';
import type FakeEngine from './FakeEngine.js';

/** One entry's way to choose engines. */
export default interface ChoicePolicy {
  /** Index of the engine that takes the work. */
  choose(work: Work): number;
  dispatched(engine: number, id: string, work: Work): void;
  /** Notes the end of a request with its mean time between tokens; null for a failure. */
  ended(engine: number, id: string, gapMilliseconds: number | null): void;
  /** Takes a report in, which lags. */
  report(engine: number, report: ReturnType<FakeEngine['report']>): void;
  /** A cache event, which lags and may be missing. */
  cached(engine: number, prefix: number): void;
}
