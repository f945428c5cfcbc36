import type { Clock, WorkerId } from '@dandelionlane/core';
import type {
  ConfigurationHolder, OrderStamp, Worker, WorkerOrder, WorkerPort, WorkerTable,
} from '@dandelionlane/fleet';
import type { Log, Metrics } from '@dandelionlane/telemetry';
import type WorkerObserver from '../observation/WorkerObserver.js';
import type OrderStep from '../plan/OrderStep.js';
import LoadPacer from './LoadPacer.js';

/** Time after which an order counts as unanswered, in ms. */
const ORDER_TIMEOUT_MILLISECONDS = 400;

/** What an `OrderSender` needs from outside. */
interface OrderSenderOptions {
  readonly port: WorkerPort;
  readonly workers: WorkerTable;
  readonly observer: WorkerObserver;
  readonly configuration: ConfigurationHolder;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Whether weights may be loaded without a limit: before the first traffic loads are cheap. */
  readonly isBootstrapping: () => boolean;
  /** A worker has seen a later term. */
  readonly fenced: () => void;
}

/** Sends orders to workers, and notes what their answers tell of them. */
export default class OrderSender {
  readonly #options: OrderSenderOptions;

  readonly #pacer = new LoadPacer();

  constructor(options: OrderSenderOptions) {
    this.#options = options;
  }

  /** Sends an order, unless it would load weights and too many loads have begun in the last second. */
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
    if (step.loads && !isBootstrapping() && !this.#pacer.tryStart(clock.monotonicMilliseconds(), limit)) {
      return;
    }
    observer.orderSent(step.worker);
    void this.#carryOut(step, worker, stamp);
  }

  async #carryOut({ worker: id, order }: OrderStep, worker: Worker, stamp: OrderStamp): Promise<void> {
    const {
      port, observer, log, metrics, fenced,
    } = this.#options;
    const outcome = await port.order(worker, order, stamp, ORDER_TIMEOUT_MILLISECONDS);
    const result = outcome.isOk() ? outcome.value : 'unanswered';
    // A leave is done by the time of its answer, and counts as an order.
    const counts = result === 'begun' || (result === 'done' && order.kind === 'leave');
    observer.orderEnded(id, counts ? stamp.expectedSequence + 1 : null);
    if (result === 'begun' || result === 'done') {
      this.#noteEffect(id, order);
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
      fenced();
    }
  }

  /** What an accepted order changes at once; reports show it later. */
  #noteEffect(id: WorkerId, order: WorkerOrder): void {
    const { observer } = this.#options;
    switch (order.kind) {
      case 'join': {
        const { group, epoch, members } = order;
        observer.groupAccepted(id, {
          name: group, epoch, rank: members.indexOf(id), state: 'joining',
        }, order.model);
        break;
      }
      case 'leave':
        observer.groupAccepted(id, null, null);
        break;
      case 'open':
        observer.openAccepted(id);
        break;
      case 'close':
      case 'stage':
        break;
      default:
        order satisfies never;
    }
  }
}
