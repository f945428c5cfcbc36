import type CallRecord from './CallRecord.js';
import GroupRecorder from './GroupRecorder.js';
import type GroupSummary from './GroupSummary.js';
import labelOutcome from './labelOutcome.js';
import noOutcomes from './noOutcomes.js';
import type OutcomeCounts from './OutcomeCounts.js';
import type TimelinePoint from './TimelinePoint.js';

const MILLISECONDS_PER_SECOND = 1_000;

/** Takes the record of every call and sums up. */
export default class Recorder {
  readonly records: CallRecord[] = [];

  readonly #groups = new Map<string, GroupRecorder>();

  readonly #seconds = new Map<number, OutcomeCounts>();

  record(record: CallRecord): void {
    const { call, result } = record;
    this.records.push(record);
    const name = `${call.team} ${call.service}`;
    const group = this.#groups.get(name) ?? new GroupRecorder(call.team, call.service);
    this.#groups.set(name, group);
    group.record(record);
    const second = Math.floor(call.offsetMilliseconds / MILLISECONDS_PER_SECOND);
    const outcomes = this.#seconds.get(second) ?? noOutcomes();
    this.#seconds.set(second, outcomes);
    outcomes[labelOutcome(result.outcome)] += 1;
  }

  /** Largest delay between intended and real start, in milliseconds. */
  get maximumStartLagMilliseconds(): number {
    return this.records
      .map(({ sentAt, intendedStart }) => sentAt - intendedStart)
      .reduce((most, lag) => Math.max(most, lag), 0);
  }

  /** By team and service, in the order of their names. */
  groups(): readonly GroupSummary[] {
    return [...this.#groups]
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([, group]) => group.summary());
  }

  /** Second by second; seconds without calls are left out. */
  timeline(): readonly TimelinePoint[] {
    return [...this.#seconds]
      .sort(([left], [right]) => left - right)
      .map(([second, outcomes]) => ({ second, outcomes }));
  }
}
