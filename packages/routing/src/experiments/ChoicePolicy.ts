import type RequestSize from './RequestSize.js';
import type FakeEngine from './FakeEngine.js';

/** One entry's way to choose engines. */
export default interface ChoicePolicy {
  /** Index of the engine that takes the work. */
  choose(size: RequestSize): number;
  recordDispatch(engine: number, id: string, size: RequestSize): void;
  /** Notes the end of a request with its mean time between tokens; null for a failure. */
  recordCompletion(engine: number, id: string, gapMilliseconds: number | null): void;
  /** Takes a report in, which lags. */
  recordReport(engine: number, report: ReturnType<FakeEngine['report']>): void;
  /** A cache event, which lags and may be missing. */
  recordCachedPrefix(engine: number, prefix: number): void;
}
