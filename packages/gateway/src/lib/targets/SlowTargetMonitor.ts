import type { Clock, WorkerId } from '@dandelionlane/core';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type TargetState from './TargetState.js';
import type TargetStates from './TargetStates.js';

/** Period of the check, in ms: several times within the time that a change takes to show. */
const PERIOD_MILLISECONDS = 500;

/** Lines of one check: many targets at once are a matter of the service, not of each of them. */
const MAXIMUM_LINES = 5;

/** Dependencies of a `SlowTargetMonitor`. */
interface SlowTargetMonitorOptions {
  readonly states: TargetStates;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

function round(value: number | null): number | undefined {
  return value === null || !Number.isFinite(value) ? undefined : Number(value.toFixed(1));
}

/** Tells operators which targets have been found slow, from how many samples, and when they recover. */
export default class SlowTargetMonitor {
  readonly #options: SlowTargetMonitorOptions;

  /** Monotonic time at which each slow target was found, in ms. */
  readonly #slowSince = new Map<WorkerId, number>();

  #lines = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: SlowTargetMonitorOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setInterval(() => this.check(), PERIOD_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  check(): void {
    const { states, log, metrics } = this.#options;
    this.#lines = 0;
    const targets = new Map(states.entries());
    [...this.#slowSince.keys()].filter((worker) => !targets.has(worker))
      .forEach((worker) => this.#slowSince.delete(worker));
    targets.forEach((state, worker) => this.#checkTarget(worker, state));
    const all = [...targets.values()];
    metrics.gauge('gateway.slow_targets', this.#slowSince.size);
    metrics.gauge('gateway.measured_targets', all.filter(({ ownSlowdown }) => ownSlowdown !== null).length);
    metrics.gauge('gateway.highest_slowdown', Math.max(1, ...all.map(({ slowdown }) => slowdown)));
    metrics.gauge('gateway.entry_slowdown', states.conditions.highestSlowdown);
    const implausible = states.takeImplausible();
    if (implausible !== null) {
      log.warn('Shared slowdown is implausible.', implausible);
    }
  }

  #checkTarget(worker: WorkerId, state: TargetState): void {
    const { clock, log, metrics } = this.#options;
    const { slowdown, ownSlowdown, speed } = state;
    const since = this.#slowSince.get(worker);
    const learned = {
      worker,
      slowdown: round(slowdown),
      ownSlowdown: round(ownSlowdown),
      samples: speed.samples,
      ageMilliseconds: round(speed.ageMilliseconds),
      outstanding: state.outstanding,
    };
    if (slowdown > 1 && since === undefined) {
      this.#slowSince.set(worker, clock.monotonicMilliseconds());
      metrics.count('gateway.targets_found_slow');
      this.#write(() => log.info('Target is slow.', { ...learned, limit: round(speed.limit) }));
    } else if (slowdown === 1 && since !== undefined && speed.isConfirmed) {
      this.#slowSince.delete(worker);
      const slowMilliseconds = Math.round(clock.monotonicMilliseconds() - since);
      this.#write(() => log.info('Target is no longer slow.', { ...learned, slowMilliseconds }));
    }
  }

  #write(write: () => void): void {
    this.#lines += 1;
    if (this.#lines <= MAXIMUM_LINES) {
      write();
    }
  }
}
