/** Holds work back while a VM is frozen. */
export default class FreezeGate {
  #frozen = false;

  #waiting: (() => void)[] = [];

  freeze(): void {
    this.#frozen = true;
  }

  thaw(): void {
    this.#frozen = false;
    const waiting = this.#waiting;
    this.#waiting = [];
    waiting.forEach((resume) => resume());
  }

  /** Ends when the VM is not frozen. */
  async pass(): Promise<void> {
    while (this.#frozen) {
      await new Promise<void>((resume) => {
        this.#waiting.push(resume);
      });
    }
  }
}
