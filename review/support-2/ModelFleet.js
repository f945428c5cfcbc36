import ModelWorker from './ModelWorker.js';

/**
 * Workers of a service with models (PROTOCOL.md, "Requests"), all of one fabric domain. They are in one
 * process, so that a head knows at once whether its members are in its group.
 */
export default class ModelFleet {
  workers = new Map();

  /** @param models As in the `engine` of the service. */
  constructor({ store, service, models }) {
    this.store = store;
    this.service = service;
    this.models = models;
    this.slots = 18;
    this.formMilliseconds = 300;
    this.stallMilliseconds = 6_000;
    this.events = 5;
    this.gapMilliseconds = 40;
    /** Answers a stream in place of the one head that is in trouble; null while all are sound. */
    this.answerInTrouble = null;
    this.idInTrouble = null;
  }

  async add(id, createProxy = null) {
    const worker = new ModelWorker(this, id);
    this.workers.set(id, worker);
    await worker.start(createProxy);
    return worker;
  }

  stop() {
    this.workers.forEach((worker) => worker.stop());
  }

  /** Whether a head is the one in trouble: the first one that was asked since. */
  isInTrouble(id) {
    this.idInTrouble ??= id;
    return this.idInTrouble === id;
  }

  /** Whether all members of a head's formation are in it. */
  isWhole({ group }) {
    return group !== null && group.members.every((id) => {
      const member = this.workers.get(id);
      return member !== undefined && member.alive && member.group !== null
        && member.group.name === group.name && member.group.epoch === group.epoch;
    });
  }
}
