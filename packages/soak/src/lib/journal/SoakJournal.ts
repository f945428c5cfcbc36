import type DirectoryAnswer from './DirectoryAnswer.js';
import type DisturbedPart from './DisturbedPart.js';
import type EntryStop from './EntryStop.js';
import type GoneEntry from './GoneEntry.js';
import type PathCut from './PathCut.js';
import type SentRequest from './SentRequest.js';
import type Violation from './Violation.js';
import type WorkerRun from './WorkerRun.js';

/** A time span in which something was disturbed, in monotonic ms; `to` is infinite until it ends. */
interface Disturbance {
  readonly parts: readonly DisturbedPart[];
  readonly from: number;
  to: number;
}

/** What callers and workers saw of one soak. */
export default class SoakJournal {
  readonly requests = new Map<string, SentRequest>();

  readonly runs: WorkerRun[] = [];

  /** Monotonic time at which the leaving of each worker was written, in ms. */
  readonly drainedAt = new Map<string, number>();

  /** Planned stops, in the order of their beginnings. */
  readonly stops: EntryStop[] = [];

  readonly goneEntries: GoneEntry[] = [];

  readonly directoryAnswers: DirectoryAnswer[] = [];

  /** Memory of each entry at its peak, in MB, as far as its processes were asked before their ends. */
  readonly peakMegabytes = new Map<string, number>();

  /** Promises that were seen broken at once. */
  readonly violations: Violation[] = [];

  readonly #disturbances: Disturbance[] = [];

  violated(promise: string, detail: string): void {
    this.violations.push({ promise, detail, timed: false });
  }

  /** Notes that parts are disturbed, until the returned function is called. */
  disturbed(now: number, parts: readonly DisturbedPart[]): (end: number) => void {
    const disturbance: Disturbance = { parts, from: now, to: Number.POSITIVE_INFINITY };
    this.#disturbances.push(disturbance);
    return (end) => {
      disturbance.to = end;
    };
  }

  /** Whether nothing was disturbed in a time span. */
  isCalm(from: number, to: number): boolean {
    return this.#disturbances.every((disturbance) => disturbance.to < from || disturbance.from > to);
  }

  /** Spans in which entries had lost their paths to all workers. */
  pathCuts(): readonly PathCut[] {
    return this.#disturbances.flatMap(({ parts, from, to }) => {
      const cut = parts.filter((part) => part.kind === 'paths');
      const [first] = cut;
      return first === undefined ? [] : [{
        entries: cut.map(({ entry }) => entry), state: first.state, from, to,
      }];
    });
  }

  /** Parts that were disturbed at some moment of a time span. */
  disturbedParts(from: number, to: number): readonly DisturbedPart[] {
    return this.#disturbances
      .filter((disturbance) => disturbance.to >= from && disturbance.from <= to)
      .flatMap(({ parts }) => parts);
  }
}
