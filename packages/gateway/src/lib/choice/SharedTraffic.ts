import type { Clock, ModelName } from '@dandelionlane/core';
import type ModelTraffic from './ModelTraffic.js';
import NO_TRAFFIC from './NO_TRAFFIC.js';
import type UrgentTraffic from './UrgentTraffic.js';

/** Age up to which traffic shared by all entries is used, in ms: several messages. */
const SHARED_AGE_MILLISECONDS = 600;

/** The most urgent streams of all entries. */
function combineUrgent(
  own: UrgentTraffic | null,
  shared: ModelTraffic | null,
  entries: number,
): UrgentTraffic | null {
  if (shared === null) {
    return own === null ? null : { ...own, onTimeWaiting: own.onTimeWaiting * entries };
  }
  if (shared.onTimeWaiting === 0) {
    return own;
  }
  const { urgent } = shared;
  // Entries of an earlier build do not tell of it.
  if (urgent === undefined || urgent === null) {
    return null;
  }
  if (own === null || own.priority !== urgent.priority) {
    return own !== null && own.priority < urgent.priority ? own : urgent;
  }
  return { ...own, onTimeWaiting: Math.max(own.onTimeWaiting, urgent.onTimeWaiting) };
}

/** Traffic of all entries, as last shared over the links. */
export default class SharedTraffic {
  readonly #clock: Clock;

  #shared: ReadonlyMap<ModelName, ModelTraffic> = new Map();

  #sharedAt = Number.NEGATIVE_INFINITY;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records the traffic of all entries, including this one. */
  record(traffic: ReadonlyMap<ModelName, ModelTraffic>): void {
    this.#shared = traffic;
    this.#sharedAt = this.#clock.monotonicMilliseconds();
  }

  /**
   * Estimated traffic of all entries.
   * @param own Traffic of this entry. That of the others is assumed to be equal where it is not known.
   * @param entries Number of live entries, including this one.
   */
  estimate(model: ModelName, own: ModelTraffic, entries: number): ModelTraffic {
    const isShared = this.#clock.monotonicMilliseconds() - this.#sharedAt < SHARED_AGE_MILLISECONDS;
    const shared = isShared ? this.#shared.get(model) ?? NO_TRAFFIC : null;
    const combine = (key: keyof Omit<ModelTraffic, 'urgent'>) => (
      shared === null ? own[key] * entries : Math.max(own[key], shared[key])
    );
    return {
      onTimeWaiting: combine('onTimeWaiting'),
      // Late streams come in crowds, at all entries before the links have told of them.
      lateWaiting: Math.max(shared?.lateWaiting ?? 0, Math.max(1, own.lateWaiting) * entries),
      lateRunning: Math.max(shared?.lateRunning ?? 0, own.lateRunning * entries),
      arrivalsPerSecond: combine('arrivalsPerSecond'),
      urgent: combineUrgent(own.urgent ?? null, shared, entries),
    };
  }
}
