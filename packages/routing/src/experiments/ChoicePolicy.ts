import type RequestSize from './RequestSize.js';
import type FakeEngine from './FakeEngine.js';

/** The strategy by which an entry chooses engines. */
export default interface ChoicePolicy {
  /** Chooses an engine for a request and returns its index. */
  choose(size: RequestSize): number;
  recordDispatch(engine: number, id: string, size: RequestSize): void;
  /** Records the end of a request with its mean time between tokens; null for a failure. */
  recordCompletion(engine: number, id: string, gapMilliseconds: number | null): void;
  /** Records a load report, which arrives late. */
  recordReport(engine: number, report: ReturnType<FakeEngine['report']>): void;
  /** Records a cache event, which arrives late or not at all. */
  recordCachedPrefix(engine: number, prefix: number): void;
}
