import { writeFile } from 'node:fs/promises';

/** Lines of what was sent, answered and run, with the time since the start in ms. */
export default class Recording {
  #lines = [];

  #path;

  /** @param {string} path File to which `save` writes. */
  constructor(path) {
    this.#path = path;
  }

  add(text) {
    this.#lines.push(`${Math.round(performance.now()).toString().padStart(6)} ms  ${text}`);
  }

  async save() {
    await writeFile(this.#path, `${this.#lines.join('\n')}\n`);
  }
}
