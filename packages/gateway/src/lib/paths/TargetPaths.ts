import type { Clock, RandomSource, ServiceId } from '@dandelionlane/core';
import type { ProbeOutcome, Worker, WorkerTable } from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';

/** Age up to which the failures of targets count together, in ms. */
const FAILURE_AGE_MILLISECONDS = 1_000;

/** Targets that have to fail before the paths are checked: one may have ended. */
const FAILED_TARGETS = 2;

/** Targets that one check asks. */
const SAMPLE = 4;

/** Time for an answer to a check, in ms. */
const PROBE_TIMEOUT_MILLISECONDS = 250;

/** Time for which the outcome of a check that found a path is kept, in ms. */
const CHECK_AGE_MILLISECONDS = 400;

/** Period of the checks while the paths are lost, in ms. */
const CHECK_PERIOD_MILLISECONDS = 300;

/** Share of the asked targets that have to answer before lost paths count as back. */
const RETURN_SHARE = 0.5;

/** Dependencies of `TargetPaths`. */
interface TargetPathsOptions {
  readonly workers: Pick<WorkerTable, 'ofService'>;
  /** Asks at the address of a worker for a sign of life, over a new connection. Never rejects. */
  readonly probe: (worker: Worker, timeoutMilliseconds: number) => Promise<ProbeOutcome>;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** What is known of the paths to the targets of one service. */
interface ServicePaths {
  /** Monotonic time of the last failure of each target, in ms. */
  readonly failedAt: Map<Worker['id'], number>;
  isLost: boolean;
  /** Check under way, or null. */
  check: Promise<boolean> | null;
  /** Monotonic time of the end of the last check, in ms. */
  checkedAt: number;
}

/**
 * Tells the loss of this entry's own paths to the targets of a service from the loss of targets: several
 * targets fail at once, and of a sample of all targets none answers on a new connection.
 */
export default class TargetPaths {
  readonly #options: TargetPathsOptions;

  readonly #services = new Map<ServiceId, ServicePaths>();

  readonly #lossListeners: ((service: ServiceId) => void)[] = [];

  readonly #returnListeners: ((service: ServiceId) => void)[] = [];

  #timer: NodeJS.Timeout | undefined;

  constructor(options: TargetPathsOptions) {
    this.#options = options;
  }

  /** Starts to check lost paths until they are back. */
  start(): void {
    this.#timer = setInterval(() => {
      this.lostServices.forEach((service) => void this.check(service));
    }, CHECK_PERIOD_MILLISECONDS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Calls a listener whenever the paths to the targets of a service are lost. */
  onLost(listener: (service: ServiceId) => void): void {
    this.#lossListeners.push(listener);
  }

  /** Calls a listener whenever lost paths to the targets of a service are back. */
  onReturned(listener: (service: ServiceId) => void): void {
    this.#returnListeners.push(listener);
  }

  /** Services no target of which can be reached. */
  get lostServices(): readonly ServiceId[] {
    return [...this.#services].filter(([, { isLost }]) => isLost).map(([service]) => service);
  }

  /** Whether no target of a service can be reached. */
  isLost(service: ServiceId): boolean {
    return this.#services.get(service)?.isLost === true;
  }

  /** Whether failures of targets may be due to the paths: nothing follows from them for other entries. */
  isInDoubt(service: ServiceId): boolean {
    const paths = this.#services.get(service);
    return paths !== undefined && (paths.isLost || paths.check !== null);
  }

  /** Records that a target was not reached, or that a connection to it was lost without an answer. */
  recordFailure({ id, service }: Worker): void {
    const now = this.#now();
    const paths = this.#of(service);
    paths.failedAt.set(id, now);
    paths.failedAt.forEach((at, failed) => {
      if (now - at > FAILURE_AGE_MILLISECONDS) {
        paths.failedAt.delete(failed);
      }
    });
    const haveSeveralFailed = paths.failedAt.size >= FAILED_TARGETS;
    if (haveSeveralFailed && !paths.isLost && now - paths.checkedAt >= CHECK_AGE_MILLISECONDS) {
      void this.check(service);
    }
  }

  /** Whether a target of the service can be reached, by a check now or by one that has just ended. */
  async check(service: ServiceId): Promise<boolean> {
    const paths = this.#of(service);
    if (!paths.isLost && this.#now() - paths.checkedAt < CHECK_AGE_MILLISECONDS) {
      return true;
    }
    paths.check ??= this.#check(service, paths).finally(() => {
      paths.check = null;
    });
    return paths.check;
  }

  async #check(service: ServiceId, known: ServicePaths): Promise<boolean> {
    const { probe } = this.#options;
    const paths = known;
    const sample = this.#sample(service);
    const outcomes = await Promise.all(sample.map((worker) => probe(worker, PROBE_TIMEOUT_MILLISECONDS)));
    const answers = outcomes.map((outcome) => outcome === 'answered' || outcome === 'misdirected');
    const answered = answers.filter((answer) => answer).length;
    paths.checkedAt = this.#now();
    paths.failedAt.clear();
    if (!paths.isLost && sample.length > 0 && answered === 0) {
      this.#lose(service, paths, sample);
    } else if (paths.isLost && answered >= sample.length * RETURN_SHARE) {
      paths.isLost = false;
      this.#options.log.info('Paths to targets are back.', { service, answered, asked: sample.length });
      this.#returnListeners.forEach((listener) => listener(service));
    }
    return !paths.isLost;
  }

  #lose(service: ServiceId, lost: ServicePaths, sample: readonly Worker[]): void {
    const { log, metrics } = this.#options;
    const paths = lost;
    paths.isLost = true;
    metrics.count('gateway.lost_paths');
    log.warn('Paths to targets are lost.', { service, asked: sample.map(({ id }) => id).join(' ') });
    this.#lossListeners.forEach((listener) => listener(service));
  }

  /** Draws targets of a service. */
  #sample(service: ServiceId): readonly Worker[] {
    const { workers, random } = this.#options;
    return workers.ofService(service).map(({ worker }) => ({ worker, order: random.next() }))
      .sort((one, other) => one.order - other.order)
      .slice(0, SAMPLE)
      .map(({ worker }) => worker);
  }

  #of(service: ServiceId): ServicePaths {
    const paths = this.#services.get(service) ?? {
      failedAt: new Map(), isLost: false, check: null, checkedAt: Number.NEGATIVE_INFINITY,
    };
    this.#services.set(service, paths);
    return paths;
  }

  #now(): number {
    return this.#options.clock.monotonicMilliseconds();
  }
}
