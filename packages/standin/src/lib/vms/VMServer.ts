import type { ServingError, VMRecord } from '@dandelionlane/core';
import { okAsync, type ResultAsync } from 'neverthrow';
import Engine from '../engine/Engine.js';
import type EngineParts from '../engine/EngineParts.js';
import type SlotBook from '../plain/SlotBook.js';
import type RunningServer from '../server/RunningServer.js';
import startServer from '../server/startServer.js';
import createVMApp from './createVMApp.js';
import registerVM from './registerVM.js';
import type VMFault from './VMFault.js';

const DELAY_BEFORE_STOP_MILLISECONDS = 20;

/** A VM stand-in with its port. Invariant: the port stays the same over restarts. */
export default class VMServer {
  readonly engine: Engine;

  readonly #parts: EngineParts;

  readonly #book: SlotBook;

  #server: RunningServer | undefined;

  #address = '';

  constructor(parts: EngineParts, book: SlotBook) {
    this.#parts = parts;
    this.#book = book;
    this.engine = new Engine(parts);
  }

  /** `host:port`. */
  get address(): string {
    return this.#address;
  }

  /** Listens, and registers with the platform if there is one. Errors: `internal`, `store-unavailable`. */
  start(): ResultAsync<void, ServingError> {
    const app = createVMApp(this.engine, this.#book, (fault) => this.#applyFromOwnPort(fault));
    const port = this.#address === '' ? this.#parts.vm.port : Number(this.#address.split(':').at(-1));
    return startServer(app, this.#parts.common.host, port).andThen((server) => {
      this.#server = server;
      this.#address = server.address;
      return this.#register(this.#parts.vm.state);
    });
  }

  async apply(fault: VMFault): Promise<void> {
    const { engine } = this;
    switch (fault.kind) {
      case 'kill':
        await this.#kill();
        return;
      case 'restart':
        await this.#kill();
        await this.start();
        return;
      case 'freeze':
        engine.gate.freeze();
        return;
      case 'thaw':
        engine.gate.thaw();
        return;
      case 'go-cold':
        engine.load.goCold();
        return;
      case 'leave':
        engine.load.leave();
        await this.#register('leaving');
        return;
      case 'slow':
        engine.faults.slowFactor = fault.factor;
        engine.faults.slowMilliseconds = fault.milliseconds;
        return;
      case 'late-answer':
        engine.faults.delayNext(fault.answers, fault.milliseconds);
        return;
      case 'duplicate-answer':
        engine.faults.duplicateNext(fault.answers);
        return;
      default:
        fault satisfies never;
    }
  }

  async close(): Promise<void> {
    await this.#kill();
  }

  /** A fault that stops the server waits until its own answer is out. */
  #applyFromOwnPort(fault: VMFault): void {
    const stops = fault.kind === 'kill' || fault.kind === 'restart';
    if (stops) {
      setTimeout(() => void this.apply(fault), DELAY_BEFORE_STOP_MILLISECONDS);
    } else {
      void this.apply(fault);
    }
  }

  async #kill(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    const closed = server?.close();
    this.engine.restart();
    await closed;
  }

  #register(state: VMRecord['state']): ResultAsync<void, ServingError> {
    const { common, vm, dispatcher } = this.#parts;
    if (common.platform === undefined) {
      return okAsync(undefined);
    }
    return registerVM(common.platform, {
      vm: vm.vm,
      availabilityZone: vm.availabilityZone,
      fabricDomain: vm.fabricDomain,
      accelerators: vm.accelerators,
      address: this.#address,
      state,
    }, dispatcher);
  }
}
