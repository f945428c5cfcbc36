import { setTimeout as sleep } from 'node:timers/promises';
import TestGateway, { type TargetScript } from './TestGateway.js';

type StartParameters = Parameters<typeof TestGateway.start>;

/** Targets that are all lost to a gateway. */
const LOST_TARGETS = 3;

const MAXIMUM_TRIES = 20;

const end: TargetScript = (_incoming, outgoing) => outgoing.end();

/** The gateways of a test, which end with it. */
export default class TestGateways {
  readonly #started: TestGateway[] = [];

  async start(...parameters: StartParameters): Promise<TestGateway> {
    const gateway = await TestGateway.start(...parameters);
    this.#started.push(gateway);
    return gateway;
  }

  /** Starts a gateway that has lost its paths to all targets, with others that it may pass requests on to. */
  async startCutOff(
    kind: StartParameters[0],
    others: readonly TestGateway[],
    maximumAttempts?: number,
  ): Promise<TestGateway> {
    const gateway = await this.start(kind, Array<TargetScript>(LOST_TARGETS).fill(end), maximumAttempts);
    Array.from({ length: LOST_TARGETS }, (_, index) => gateway.stopTarget(index));
    for (let tries = 0; tries < MAXIMUM_TRIES && gateway.paths.lostServices.length === 0; tries += 1) {
      await gateway.call();
      await sleep(20);
    }
    gateway.peers = others.map((other, index) => other.asPeer(`entry-${index}`));
    return gateway;
  }

  stop(): void {
    this.#started.splice(0).forEach((gateway) => gateway.stop());
  }
}
