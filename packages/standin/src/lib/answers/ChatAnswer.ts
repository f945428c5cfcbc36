import { hashText } from '@dandelionlane/core';
import answerWord from './answerWord.js';
import type ChatRequest from './ChatRequest.js';
import type ChatUsage from './ChatUsage.js';
import countTokens from './countTokens.js';
import promptOf from './promptOf.js';
import tokenText from './tokenText.js';

const MILLISECONDS_PER_SECOND = 1_000;
const CORRUPTED_WORD = 'corrupted';

/** The documents that make up the answer to one chat request. */
export default class ChatAnswer {
  readonly prompt: string;

  readonly firstToken: number;

  readonly endToken: number;

  readonly #promptHash: number;

  readonly #common: { readonly id: string; readonly created: number; readonly model: string };

  #text = '';

  constructor(request: ChatRequest, requestId: string, startedAt: Date) {
    this.prompt = promptOf(request.messages);
    this.firstToken = request.resume?.deliveredTokens ?? 0;
    this.endToken = request.max_tokens;
    this.#promptHash = hashText(this.prompt);
    this.#common = {
      id: `chatcmpl-${requestId}`,
      created: Math.floor(startedAt.getTime() / MILLISECONDS_PER_SECOND),
      model: request.model,
    };
  }

  /** Adds the token at a position, `corrupted` instead of its word when the replica is not whole. */
  addToken(position: number, isWhole: boolean): string {
    const text = tokenText(isWhole ? answerWord(this.#promptHash, position) : CORRUPTED_WORD, position);
    this.#text += text;
    return text;
  }

  tokenChunk(position: number, content: string): object {
    const delta = position === this.firstToken ? { role: 'assistant', content } : { content };
    return {
      ...this.#common,
      object: 'chat.completion.chunk',
      token_index: position,
      choices: [{ index: 0, delta, finish_reason: null }],
    };
  }

  finalChunk(): object {
    return {
      ...this.#common,
      object: 'chat.completion.chunk',
      choices: [{ index: 0, delta: {}, finish_reason: 'stop' }],
      usage: this.#usage(),
    };
  }

  /** The answer of a request that is not streamed, with the tokens added so far. */
  wholeAnswer(): object {
    const message = { role: 'assistant', content: this.#text };
    return {
      ...this.#common,
      object: 'chat.completion',
      choices: [{ index: 0, message, finish_reason: 'stop' }],
      usage: this.#usage(),
    };
  }

  #usage(): ChatUsage {
    const promptTokens = countTokens(this.prompt);
    return {
      prompt_tokens: promptTokens,
      completion_tokens: this.endToken,
      total_tokens: promptTokens + this.endToken,
    };
  }
}
