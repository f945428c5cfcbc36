/** Registers a worker in the store and writes its row as often as the pages say. */
export default class Registration {
  #timer;

  constructor(store, id, describe) {
    this.store = store;
    this.id = id;
    this.describe = describe;
    this.sequence = 0;
  }

  start() {
    this.beat();
    this.#timer = setInterval(() => this.beat(), 1_200);
  }

  beat() {
    this.sequence += 1;
    this.store.put('servers', this.id, { ...this.describe(), sequence: this.sequence });
  }

  /** Ends the heartbeats. The row expires after three missed ones. */
  stop() {
    clearInterval(this.#timer);
  }

  remove() {
    this.stop();
    this.store.put('servers', this.id, undefined);
  }
}
