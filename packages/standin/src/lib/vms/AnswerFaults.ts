/** What happens to the next answers of a VM. */
export default class AnswerFaults {
  /** Factor on the time per token. */
  slowFactor = 1;

  /** Added to each plain answer. */
  slowMilliseconds = 0;

  #late = 0;

  #lateMilliseconds = 0;

  #duplicates = 0;

  delayNext(answers: number, milliseconds: number): void {
    this.#late = answers;
    this.#lateMilliseconds = milliseconds;
  }

  duplicateNext(answers: number): void {
    this.#duplicates = answers;
  }

  /** How late the answer that begins now is to be sent, in milliseconds. */
  takeDelay(): number {
    if (this.#late === 0) {
      return 0;
    }
    this.#late -= 1;
    return this.#lateMilliseconds;
  }

  /** Whether the answer that begins now is to be sent twice. */
  takeDuplicate(): boolean {
    if (this.#duplicates === 0) {
      return false;
    }
    this.#duplicates -= 1;
    return true;
  }
}
