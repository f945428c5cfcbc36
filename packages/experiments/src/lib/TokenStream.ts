import type { ServerResponse } from 'node:http';

/** Share of the period by which one batch is later than the one before. */
const PHASE_STEP = 0.381;

function createChunk(index: number): string {
  const content = `${(performance.timeOrigin + performance.now()).toFixed(3)} `;
  return `data: ${JSON.stringify({
    id: 'chatcmpl-measurement',
    object: 'chat.completion.chunk',
    created: 0,
    model: 'measurement',
    token_index: index,
    choices: [{ index: 0, delta: { content }, finish_reason: null }],
  })}\n\n`;
}

const END = `data: ${JSON.stringify({
  id: 'chatcmpl-measurement', choices: [{ index: 0, delta: {}, finish_reason: 'stop' }],
})}\n\ndata: [DONE]\n\n`;

/** One stream of a `TokenSource`. */
export default class TokenStream {
  readonly #response: ServerResponse;

  readonly #total: number;

  readonly #periodMilliseconds: number;

  /** Monotonic time of the next token: a multiple of the period plus the phase of the batch. */
  #nextAt: number;

  #sent = 0;

  constructor(response: ServerResponse, total: number, periodMilliseconds: number, batch: number) {
    this.#response = response;
    this.#total = total;
    this.#periodMilliseconds = periodMilliseconds;
    const phase = ((batch * PHASE_STEP) % 1) * periodMilliseconds;
    this.#nextAt = Math.floor(performance.now() / periodMilliseconds) * periodMilliseconds + phase;
  }

  /** Writes the tokens that are due. Returns whether the stream has ended. */
  write(now: number): boolean {
    while (this.#nextAt <= now && this.#sent < this.#total) {
      this.#response.write(createChunk(this.#sent));
      this.#sent += 1;
      this.#nextAt += this.#periodMilliseconds;
    }
    if (this.#sent < this.#total) {
      return false;
    }
    this.#response.end(END);
    return true;
  }
}
