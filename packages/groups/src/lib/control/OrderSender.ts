import type { Clock, WorkerId } from '@dandelionlane/core';
import type {
  ConfigurationHolder, OrderStamp, Worker, WorkerOrder, WorkerPort, WorkerTable,
} from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type WorkerObserver from '../observation/WorkerObserver.js';
import type OrderStep from '../plan/OrderStep.js';
import LoadRateLimiter from './LoadRateLimiter.js';

/** Time after which an order counts as unanswered, in ms. */
const ORDER_TIMEOUT_MILLISECONDS = 400;

/** Options of `OrderSender`. */
interface OrderSenderOptions {
  readonly port: WorkerPort;
  readonly workers: WorkerTable;
  readonly observer: WorkerObserver;
  readonly configuration: ConfigurationHolder;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether weight loads are unlimited: they are cheap before the first traffic. */
  readonly isBootstrapping: () => boolean;
  /** Called when a worker has seen a later term. */
  readonly onFenced: () => void;
}

/** Sends orders to workers and records the effects of accepted ones. */
export default class OrderSender {
  readonly #options: OrderSenderOptions;

  readonly #loadLimiter = new LoadRateLimiter();

  constructor(options: OrderSenderOptions) {
    this.#options = options;
  }

  /** Sends an order, unless it would load weights above the limit of loads per second. */
  send(step: OrderStep, stamp: OrderStamp): void {
    const {
      clock, workers, observer, configuration, isBootstrapping,
    } = this.#options;
    const worker = workers.get(step.worker)?.worker
      ?? observer.observation().workers.get(step.worker)?.worker;
    if (worker === undefined) {
      return;
    }
    const profile = configuration.table?.configuration.services.get(worker.service);
    const limit = profile?.engine?.loadsPerSecond ?? 1;
    if (step.loadsWeights && !isBootstrapping()
      && !this.#loadLimiter.tryStart(clock.monotonicMilliseconds(), limit)) {
      return;
    }
    observer.recordOrderSent(step.worker);
    void this.#deliver(step, worker, stamp);
  }

  async #deliver({ worker: id, order }: OrderStep, worker: Worker, stamp: OrderStamp): Promise<void> {
    const {
      port, observer, log, metrics, onFenced,
    } = this.#options;
    const outcome = await port.order(worker, order, stamp, ORDER_TIMEOUT_MILLISECONDS);
    const result = outcome.isOk() ? outcome.value : 'unanswered';
    // A leave is complete when it is answered and still counts in the worker's order sequence.
    const isCounted = result === 'begun' || (result === 'done' && order.kind === 'leave');
    observer.recordOrderEnded(id, isCounted ? stamp.expectedSequence + 1 : null);
    if (result === 'begun' || result === 'done') {
      this.#recordEffect(id, order);
    }
    metrics.count('groups.orders', 1, [`kind:${order.kind}`, `outcome:${result}`]);
    log.info('Order sent.', {
      worker: id,
      order: order.kind,
      group: order.kind === 'stage' ? undefined : order.group,
      epoch: order.kind === 'stage' ? undefined : order.epoch,
      expectedSequence: stamp.expectedSequence,
      fencing: stamp.fencing,
      outcome: result,
    });
    if (result === 'fenced') {
      log.warn('A worker has seen a later term, giving the lease up.', { worker: id });
      onFenced();
    }
  }

  /** Records what an accepted order changes immediately; reports show it only later. */
  #recordEffect(id: WorkerId, order: WorkerOrder): void {
    const { observer } = this.#options;
    switch (order.kind) {
      case 'join': {
        const { group, epoch, members } = order;
        observer.recordGroupAccepted(id, {
          name: group, epoch, rank: members.indexOf(id), state: 'joining',
        }, order.model);
        break;
      }
      case 'leave':
        observer.recordGroupAccepted(id, null, null);
        break;
      case 'open':
        observer.recordOpenAccepted(id);
        break;
      case 'close':
      case 'stage':
        break;
      default:
        order satisfies never;
    }
  }
}
